// Package invariant checks the invariants of the cores at run time. Violations
// are counted by name and exported as a metric; after SetFatal(true), which tests
// call, a violation panics.
//
// All functions are safe for concurrent use.
package invariant

import (
	"fmt"
	"math/bits"
	"sync/atomic"
)

// Name identifies an invariant. The set is fixed.
type Name uint8

const (
	// OneAttempt: at any time, at most one attempt of a task may start.
	OneAttempt Name = iota
	// AnsweredOnce: a job is answered exactly once.
	AnsweredOnce
	// WholeAnswer: the answer to a complete job contains the result of every task.
	WholeAnswer
	// NotRunProven: a job with a NotRun verdict has no attempt that may have started.
	NotRunProven
	// SlotsInRange: slot counts are neither negative nor above their limit.
	SlotsInRange
	// RevisionForward: the table revision in force never decreases.
	RevisionForward
	// SettledOnce: a settled attempt is never settled again.
	SettledOnce
	// WithinAllotment: a task starts only within the entry's allotment for its account.
	WithinAllotment
	// NothingAfterEnd: no task of a job is queued or dispatched once the job's end is
	// decided.
	NothingAfterEnd

	nameCount
)

var names = [nameCount]string{
	"one_attempt", "answered_once", "whole_answer", "not_run_proven",
	"slots_in_range", "revision_forward", "settled_once",
	"within_allotment", "nothing_after_end",
}

// String returns the name used in metrics and logs.
func (n Name) String() string {
	if n < nameCount {
		return names[n]
	}
	return "unspecified"
}

// Names returns all invariants in order of declaration.
func Names() []Name {
	all := make([]Name, nameCount)
	for i := range all {
		all[i] = Name(i)
	}
	return all
}

// Violation is the panic value of a fatal check.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v Violation) Error() string { return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail) }

var (
	counts   [nameCount]atomic.Uint64
	fatal    atomic.Bool
	observer atomic.Pointer[func(Violation)]
)

// SetObserver sets the function that is called with the violations of an invariant whose
// ordinal is a power of two, so that a fault that recurs is reported a bounded number of
// times. It must not block.
func SetObserver(observe func(Violation)) { observer.Store(&observe) }

// SetFatal sets whether a violation panics with a Violation; off by default.
func SetFatal(on bool) { fatal.Store(on) }

// Count returns the number of violations of invariant n in this process.
func Count(n Name) uint64 { return counts[n].Load() }

// Check counts a violation of invariant n unless the condition holds. The detail
// is formatted only when the violation is reported or fatal.
func Check(condition bool, n Name, detail string, args ...any) {
	if condition {
		return
	}
	ordinal := counts[n].Add(1)
	if observe := observer.Load(); observe != nil && bits.OnesCount64(ordinal) == 1 {
		(*observe)(Violation{Name: n, Detail: fmt.Sprintf(detail, args...)})
	}
	if fatal.Load() {
		panic(Violation{Name: n, Detail: fmt.Sprintf(detail, args...)})
	}
}
