// Package shedding decides which jobs of an overloaded service give way on arrival.
//
// It is made for a burst of one job type at two times its usual rate into a service that is
// nearly full, and for the loss of a part of the workers. Without it, all types share one
// queue in the order of their latest starts. Such a queue grows until every job starts at the
// last moment, so that an overload of a tenth makes a fifth of the jobs late or refused, most
// of them of types whose callers sent no more than usual.
//
// The rule marks each job by what its type has offered lately. A job within the type's usual
// rate of work is usual, one above it is excess, and a part of the usual rate is protected.
// Once the jobs that wait need a fraction of the time that the most urgent type can wait,
// excess gives way; usual jobs give way at a longer backlog, those of the least urgent type
// first; protected jobs and those of the most urgent type do not give way. The rule is judged
// by the worth answered in time in the worst seconds, and by what the types that did not grow
// lose.
//
// The usual rate is learned while nothing waits, so that a burst does not raise it. An entry
// that starts during a burst takes it for usual, and then sheds by urgency alone.
//
// The package does no I/O and reads no clock. A Shedder is not safe for concurrent use.
package shedding

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// usualHorizon is the time over which a usual rate is averaged. It is several times the
	// length of a burst that callers would still call one.
	usualHorizon = 20 * time.Second
	// minUsual is the observed time from which a usual rate is known.
	minUsual = time.Second
	// busyHorizon averages the usual rate while jobs wait, so that a type whose load has grown
	// for good is not in excess for ever.
	busyHorizon = 5 * time.Minute
	// allowance is by how much the rate of a type may exceed its average without being excess.
	allowance = 1.15
	// depth is the time for which a type may save what it has not offered.
	depth = time.Second
	// protectedShare is the part of a type's usual rate that does not give way, so that no
	// type is shut out.
	protectedShare = 0.25
	// excessLevel and usualLevel are the backlogs, as fractions of the time that the most urgent
	// type can wait, from which excess and usual jobs of the least urgent type give way. Those of
	// other types are spread between that and 1.
	excessLevel = 0.25
	usualLevel  = 0.5
	// settle is how long after the last wait a service still counts as full. The backlog comes
	// and goes while jobs are shed.
	settle = time.Second
	// maxTypes bounds the job types followed, keepIdle is how long one without jobs is kept.
	maxTypes = 5000
	// maxWork bounds the work of a job in core-seconds, maxWorkRatio bounds it by the mean of its
	// type: a declaration may be far off, and would decide for minutes what is usual.
	maxWork      = 1e5
	maxWorkRatio = 16
	keepIdle     = time.Minute
)

// Job describes a job that arrives.
type Job struct {
	Type     string
	Priority int
	// Work is the job's declared work in core-seconds. Zero means that it is unknown: it is then
	// taken as the mean of its type.
	Work float64
	// MaxWait is how long it can wait and be answered in time.
	MaxWait time.Duration
}

// Shedder follows the job types of one service. The zero value is ready for use.
type Shedder struct {
	types map[string]*jobType
	// order lists the priorities of the types in use, the most urgent first.
	order []int
	// shortest is the shortest mean time that the jobs of a type can wait, in seconds. It and
	// order are as of surveyedAt.
	shortest   float64
	surveyedAt time.Time
	// waitedAt is when jobs last waited for room.
	waitedAt time.Time
	// shed counts the jobs that gave way.
	shed uint64
}

// jobType is the record of one job type.
type jobType struct {
	priority int
	// work is the sum of work that counts towards the usual rate, over the observed seconds;
	// both decay.
	work, observed float64
	// maxWait is the mean time that its jobs can wait, in seconds, meanWork their mean work.
	maxWait, meanWork float64
	at                time.Time
	usual             bucket
	// protected passes the part of the usual rate that does not give way.
	protected bucket
}

// bucket is a token bucket in core-seconds.
type bucket struct{ tokens float64 }

func (b *bucket) fill(rate, seconds float64) {
	b.tokens = min(b.tokens+rate*seconds, rate*depth.Seconds())
}

// take takes the work if there are tokens left. A job larger than the bucket may overdraw it,
// so that large jobs of a rare type pass as well.
func (b *bucket) take(work float64) bool {
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= work
	return true
}

// Waiting records that jobs which are in time wait for room.
func (s *Shedder) Waiting(now time.Time) { s.waitedAt = now }

// Shed returns the number of jobs that gave way.
func (s *Shedder) Shed() uint64 { return s.shed }

// Admit records a job that arrives and reports whether it is admitted. backlog is the time
// until the jobs that wait have found room.
func (s *Shedder) Admit(now time.Time, j Job, backlog time.Duration) bool {
	if j.Work == 0 && s.types[j.Type] != nil {
		j.Work = s.types[j.Type].meanWork
	}
	if !(j.Work > 0) || j.MaxWait <= 0 {
		return true
	}
	t := s.jobType(now, j)
	usual, protected := t.arrived(now, j, now.Sub(s.waitedAt) < settle)
	if now.Sub(s.surveyedAt) >= surveyInterval || !slices.Contains(s.order, t.priority) {
		s.survey(now)
	}
	if protected || usual && t.priority == s.order[0] || backlog.Seconds() < s.limit(t, usual)*s.shortest {
		return true
	}
	s.shed++
	return false
}

// Admits reports whether Admit would admit the job now. It records nothing.
func (s *Shedder) Admits(now time.Time, j Job, backlog time.Duration) bool {
	trial := *s
	trial.types, trial.order = maps.Clone(s.types), slices.Clone(s.order)
	if t := s.types[j.Type]; t != nil {
		record := *t
		trial.types[j.Type] = &record
	}
	return trial.Admit(now, j, backlog)
}

// limit returns the backlog from which a job of the type gives way, as a fraction of the time
// that the most urgent type can wait.
func (s *Shedder) limit(t *jobType, usual bool) float64 {
	least := excessLevel
	if usual {
		least = usualLevel
	}
	rank, _ := slices.BinarySearch(s.order, t.priority)
	return 1 - (1-least)*float64(rank)/float64(max(1, len(s.order)-1))
}

// surveyInterval is how long what was gathered from all types is kept: there may be thousands.
const surveyInterval = 100 * time.Millisecond

// survey gathers the priorities and the shortest wait of the types that are in use.
func (s *Shedder) survey(now time.Time) {
	s.shortest, s.surveyedAt, s.order = math.Inf(1), now, s.order[:0]
	for _, t := range s.types {
		if now.Sub(t.at) > keepIdle {
			continue
		}
		s.shortest = min(s.shortest, t.maxWait)
		s.order = append(s.order, t.priority)
	}
	slices.Sort(s.order)
	s.order = slices.Compact(s.order)
}

// jobType returns the record of the job's type, creating it if it is missing.
func (s *Shedder) jobType(now time.Time, j Job) *jobType {
	t := s.types[j.Type]
	if t == nil {
		s.makeRoom(now)
		t = &jobType{maxWait: j.MaxWait.Seconds(), meanWork: min(j.Work, maxWork), at: now}
		if s.types == nil {
			s.types = make(map[string]*jobType)
		}
		s.types[j.Type] = t
	}
	t.priority = j.Priority
	return t
}

// makeRoom drops the types that have had no job for a while once there are too many, or all of
// them if none is idle: their usual rates are learned again.
func (s *Shedder) makeRoom(now time.Time) {
	if len(s.types) < maxTypes {
		return
	}
	maps.DeleteFunc(s.types, func(_ string, t *jobType) bool { return now.Sub(t.at) > keepIdle })
	if len(s.types) >= maxTypes {
		clear(s.types)
	}
}

// jobGain is the weight of a job in the means of its type.
const jobGain = 1.0 / 16

// arrived records a job and reports whether it is within the usual rate of its type, and
// within the protected part of it.
func (t *jobType) arrived(now time.Time, j Job, waiting bool) (usual, protected bool) {
	seconds := max(0, now.Sub(t.at).Seconds())
	t.at = now
	t.maxWait += jobGain * (j.MaxWait.Seconds() - t.maxWait)
	work := min(j.Work, maxWork, maxWorkRatio*t.meanWork)
	t.meanWork += jobGain * (work - t.meanWork)
	rate := t.rate()
	t.observe(seconds, work, waiting)
	if t.observed < minUsual.Seconds() {
		return true, true
	}
	t.usual.fill(allowance*rate, seconds)
	t.protected.fill(protectedShare*rate, seconds)
	usual = t.usual.take(work)
	return usual, usual && t.protected.take(work)
}

// rate returns the usual rate of work in core-seconds per second.
func (t *jobType) rate() float64 {
	if t.observed <= 0 {
		return 0
	}
	return t.work / t.observed
}

// observe adds the work of a job that came this many seconds after the one before. While jobs
// wait it counts for less, so that a burst is not taken for usual.
func (t *jobType) observe(seconds, work float64, waiting bool) {
	horizon, weight := usualHorizon.Seconds(), 1.0
	if waiting && t.observed >= minUsual.Seconds() {
		horizon, weight = busyHorizon.Seconds(), usualHorizon.Seconds()/busyHorizon.Seconds()
	}
	keep := math.Exp(-seconds / horizon)
	t.work, t.observed = keep*t.work+weight*work, keep*t.observed+weight*horizon*(1-keep)
}

// Types returns the number of job types followed.
func (s *Shedder) Types() int { return len(s.types) }
