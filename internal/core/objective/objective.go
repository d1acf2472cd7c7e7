// Package objective turns the response objective of a job type into the times that matter
// for one job: by when it has to start to be answered in time, until when a late answer is
// still of use, and whether it can end before its entry stops.
//
// It is made for jobs whose declared run times are wrong by half and more, so each time
// leaves room for a longer run. Figures that make no sense (a factor below one, a negative
// target) count as the nearest that do, and times above MaxTime as MaxTime.
//
// The package does no I/O and reads no clock.
package objective

import "time"

const (
	// slackShare is the part of a job's slack that it may wait in the queue. The rest
	// covers run times that are longer than declared.
	slackShare = 0.6
	// minWait is the shortest time for which a job may wait.
	minWait = 20 * time.Millisecond
	// lateFactor times the wanted response time is how long after its arrival callers
	// still have a use for the answer, within their deadline.
	lateFactor = 3
	// answerTime is the time from the end of a job's last task to the caller's receipt of
	// the answer, with the messages that may be lost on the way.
	answerTime = 200 * time.Millisecond
)

// MaxTime is the longest time that is calculated with. Sums and small multiples of it are
// within the range of a Duration.
const MaxTime = 10 * 365 * 24 * time.Hour

// Objective is the response objective of a job: callers want the answer within Factor
// times the run time of the longest task, plus Target. A zero Target means that there is
// none.
type Objective struct {
	Target time.Duration
	Factor float64
	// Longest is the declared run time of the longest task; zero means that it is unknown.
	Longest time.Duration
}

// Exists reports whether the job has a response objective.
func (o Objective) Exists() bool { return o.Target > 0 }

// Wanted returns the time from a job's arrival within which callers want the answer.
func (o Objective) Wanted() time.Duration {
	run := max(1, o.Factor) * float64(o.longest())
	if !(run < float64(MaxTime)) {
		return MaxTime
	}
	return min(MaxTime, time.Duration(run)+min(MaxTime, max(0, o.Target)))
}

// longest returns the run time of the longest task that is calculated with.
func (o Objective) longest() time.Duration { return min(MaxTime, max(0, o.Longest)) }

// LatestStart returns how long after its arrival the job may start and meet the objective.
func (o Objective) LatestStart() time.Duration {
	return max(minWait, time.Duration(slackShare*float64(o.Wanted()-o.longest())))
}

// LatestUsefulStart returns how long after its arrival the job may start and still be
// answered while callers have a use for the answer. patience is the time from the arrival
// to the caller's deadline.
func (o Objective) LatestUsefulStart(patience time.Duration) time.Duration {
	useful := min(lateFactor*o.Wanted(), patience)
	return max(o.LatestStart(), useful-o.Wanted())
}

// EndsWithin reports whether a job that arrives now can be expected to be answered within
// the remaining time. One whose run time is unknown cannot.
func (o Objective) EndsWithin(remaining time.Duration) bool {
	return o.Longest > 0 && o.Wanted()+answerTime <= remaining
}
