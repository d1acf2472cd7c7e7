package verdict

// CancelOutcome says what came of a cancel by the name of a job.
type CancelOutcome uint8

const (
	// CancelledHere means that this entry had the job.
	CancelledHere CancelOutcome = iota + 1
	// CancelledElsewhere means that another entry had the job and has cancelled it.
	CancelledElsewhere
	// CancelNotFound means that no entry has the job.
	CancelNotFound
	// CancelUncertain means that no entry that was reached has the job, and at least one
	// known entry was not reached.
	CancelUncertain

	cancelOutcomeEnd
)

var cancelOutcomeNames = [cancelOutcomeEnd]string{"unspecified", "cancelled_here", "cancelled_elsewhere", "not_found", "uncertain"}

// String returns the name used in logs and metrics.
func (o CancelOutcome) String() string {
	if o < cancelOutcomeEnd {
		return cancelOutcomeNames[o]
	}
	return "unspecified"
}

// Found reports whether an entry had the job.
func (o CancelOutcome) Found() bool { return o == CancelledHere || o == CancelledElsewhere }

// CancelOutcomes returns all values in order of declaration.
func CancelOutcomes() []CancelOutcome {
	return []CancelOutcome{CancelledHere, CancelledElsewhere, CancelNotFound, CancelUncertain}
}
