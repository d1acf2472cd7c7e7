package verdict

// PlacementRule says why a task does not start at a worker, or at none, for now.
type PlacementRule uint8

const (
	// WorkerUnlinked means that the worker's agent has no link to the entry.
	WorkerUnlinked PlacementRule = iota + 1
	// WorkerSilent means that the worker's agent was not heard for too long.
	WorkerSilent
	// WorkerGoing means that the worker accepts no new tasks.
	WorkerGoing
	// WorkerOnTrial means that the worker is failing and no trial task is due.
	WorkerOnTrial
	// WorkerSlow means that the worker is slow, or slower than its learned speed, and no trial
	// task is due.
	WorkerSlow
	// NoProgress means that the worker's tasks make no progress and its agent asks for no
	// trial task that the task could be.
	NoProgress
	// WorkerEvacuated means that the worker's failure domain is evacuated.
	WorkerEvacuated
	// EvacuationReported means that the worker's agent has just refused a task because of an
	// evacuation that the entry does not know of.
	EvacuationReported
	// NoRoom means that the worker, or each of them, lacks free capacity for the task.
	NoRoom
	// MissingLabel means that the worker lacks the label that the step requires.
	MissingLabel
	// StepLimit means that the worker runs as many tasks of the step as may run there.
	StepLimit
	// FailedThere means that the task's earlier attempt failed there, or that the worker is on
	// trial and the task has failed before.
	FailedThere
	// CrashRules means that the task or its job type may not run there after crashes.
	CrashRules
	// AccountLimit means that the client account runs as many tasks as it may.
	AccountLimit
	// ReservedRoom means that the free capacity is reserved for more urgent jobs.
	ReservedRoom
	// BehindOthers means that tasks that come first have to wait.
	BehindOthers

	placementRuleEnd
)

var placementRuleNames = [placementRuleEnd]string{
	"", "worker_unlinked", "worker_silent", "worker_going", "worker_on_trial", "worker_slow",
	"no_progress", "worker_evacuated", "evacuation_reported", "no_room", "missing_label", "step_limit",
	"failed_there", "crash_rules", "account_limit", "reserved_room", "behind_others",
}

// String returns the name that operators see, which is empty for the zero value.
func (r PlacementRule) String() string {
	if r < placementRuleEnd {
		return placementRuleNames[r]
	}
	return "unspecified"
}

// PlacementRules returns all values in order of declaration.
func PlacementRules() []PlacementRule {
	var all []PlacementRule
	for r := PlacementRule(1); r < placementRuleEnd; r++ {
		all = append(all, r)
	}
	return all
}
