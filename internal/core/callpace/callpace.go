// Package callpace spaces out repeated calls to a peer that leaves them without an answer.
//
// It is made for a worker that goes down and up and meanwhile accepts connections only to
// reset them. Such a call fails within a fraction of a millisecond and costs a connection,
// so that calls without a pause open hundreds of connections a second to one worker, and
// take the processor time of both ends. The same calls must not be held up when the peer
// answers but loses an answer now and then.
//
// The rule repeats a call at once after the first failure, since an idle connection may
// have been closed by the peer. Each further failure in a row doubles the spacing, which
// counts from the sending of the failed call: one that has waited for its timeout is not
// delayed again. The rule is judged by the connections for each outage, and by the time
// from the peer's return to the next call.
//
// The package does no I/O and reads no clock. A Pace is not safe for concurrent use.
package callpace

import "time"

// Bounds limit the time from one call to the next.
type Bounds struct {
	// Min is the spacing after the second failure in a row, Max the longest one.
	Min, Max time.Duration
}

// maxDoublings keeps the spacing within the range of a Duration.
const maxDoublings = 20

// Pace counts the calls in a row without an answer. The zero value has none.
type Pace struct{ failures int }

// Failed records a call without an answer.
func (p *Pace) Failed() { p.failures = min(p.failures+1, maxDoublings+2) }

// Answered records a call that was answered.
func (p *Pace) Answered() { p.failures = 0 }

// Next returns when the call after one that was sent at the given time may be sent.
func (p *Pace) Next(sentAt time.Time, b Bounds) time.Time {
	if p.failures < 2 {
		return sentAt
	}
	return sentAt.Add(min(b.Min<<(p.failures-2), b.Max))
}
