// Package roundtrip decides how long to wait for the answer to a call before it counts as
// lost, and whether the answers of a peer are being lost.
//
// It is made for a peer that answers within a millisecond and, for some seconds, leaves
// one call in ten or more without an answer. A timeout that is safe while a process is
// busy then costs a task of 60 ms half of the time that it has, while a short one costs a
// connection for each answer that is merely late. So the timeout is long as long as
// answers come, and follows the answer times once some are lost. The rule is judged by
// the time from a lost answer to the next call, and by the answers given up in vain.
//
// The package does no I/O and reads no clock. An Estimator is not safe for concurrent use.
package roundtrip

import "time"

// Bounds limit the timeout of an Estimator.
type Bounds struct {
	// Min covers the caller's own scheduling and the opening of connections.
	Min time.Duration
	// Max applies while no answers are lost.
	Max time.Duration
}

const (
	// meanGain and deviationGain are the weights of a new sample, as in RFC 6298.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is the number of mean deviations above the mean after which an
	// answer counts as missing, as in RFC 6298.
	deviationFactor = 4
	// lossGain is the weight of one call in the share of lost answers.
	lossGain = 1.0 / 32
	// lossyShare is the share of lost answers from which the peer counts as lossy. A
	// single lost answer exceeds it until a dozen calls have been answered. It is above
	// the share of answers that exceed the short timeout.
	lossyShare = 0.02
	// maxBackoffs bounds how often the timeout is doubled.
	maxBackoffs = 10
)

// Estimator follows the answer times of one peer. The zero value has no bounds; use New.
type Estimator struct {
	bounds          Bounds
	mean, deviation time.Duration
	lost            float64
	// missed counts the calls without an answer since the last answer.
	missed int
}

// New returns an estimator without samples.
func New(b Bounds) Estimator { return Estimator{bounds: b} }

// Alive records that a call was answered whose answer time tells nothing, such as one
// that waits for an event at the peer.
func (e *Estimator) Alive() {
	e.lost -= lossGain * e.lost
	e.missed = 0
}

// Answered records that a call was answered after the given time.
func (e *Estimator) Answered(after time.Duration) {
	e.Alive()
	if e.mean == 0 {
		e.mean, e.deviation = after, after/2
		return
	}
	e.deviation += time.Duration(deviationGain * float64((after-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanGain * float64(after-e.mean))
}

// Unanswered records that a call got no answer within its timeout.
func (e *Estimator) Unanswered() {
	e.lost += lossGain * (1 - e.lost)
	e.missed = min(e.missed+1, maxBackoffs)
}

// Timeout returns how long to wait for an answer. While answers are lost it is that of RFC
// 6298, section 2. It doubles with each further call in a row that gets none, so that it
// reaches the answer time of a peer that has become slow.
func (e *Estimator) Timeout() time.Duration {
	if e.mean == 0 || !e.Lossy() {
		return e.bounds.Max
	}
	timeout := max(e.mean+deviationFactor*e.deviation, e.bounds.Min)
	return min(timeout<<max(0, e.missed-1), e.bounds.Max)
}

// Lossy reports whether answers have been lost lately.
func (e *Estimator) Lossy() bool { return e.lost > lossyShare }
