package logevent

import "go.uber.org/zap"

// Events of an entry's callers (2200 to 2299).
var (
	RequestRejected  = define(2201, "request_rejected", zap.DebugLevel, "a caller's request was rejected before it became a job")
	KeyForwardFailed = define(2202, "key_forward_failed", zap.WarnLevel, "a keyed request got no answer from the entry that issued its key")
	JobNotDone       = define(2204, "job_not_done", zap.InfoLevel, "a job of a caller of the users' platform was refused or failed")
	CancelUncertain  = define(2205, "cancel_uncertain", zap.WarnLevel, "a cancel found no job, and known entries gave no answer")
	OutdatedRequest  = define(2206, "outdated_request", zap.InfoLevel, "a job was refused, since its connection is older than the latest pause of the process")
	JobsCutOff       = define(2203, "jobs_cut_off", zap.ErrorLevel, "the stop limit passed with jobs in progress")
)
