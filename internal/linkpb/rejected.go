package linkpb

// RejectedDuplicateWorker is the reason in Rejected when another live agent already
// uses the worker's name.
const RejectedDuplicateWorker = "duplicate_worker"
