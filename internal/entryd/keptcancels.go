package entryd

import "time"

const (
	// keptCancelTime is how long a cancel applies to a job that comes after it. Requests
	// arrive seconds late at the users' platform.
	keptCancelTime = 10 * time.Second
	// maxKeptCancels bounds the memory. In a wave of cancels at the largest size each
	// entry gets about 550 a second.
	maxKeptCancels = 16_384
)

// keptCancels holds the names of jobs that were cancelled lately. It is not safe for
// concurrent use.
type keptCancels struct {
	byName map[jobName]keptCancel
	// oldestFirst holds the cancels in the order in which they were added. A repeated one
	// makes the earlier ones of its name obsolete.
	oldestFirst []cancelRecord
}

type cancelRecord struct {
	name jobName
	at   time.Time
}

type keptCancel struct {
	at time.Time
	// found is set if a job of this process was cancelled.
	found bool
}

// add keeps a cancel, and renews one that is kept already.
func (k *keptCancels) add(now time.Time, name jobName, found bool) {
	k.expire(now)
	if k.byName == nil {
		k.byName = make(map[jobName]keptCancel)
	}
	k.byName[name] = keptCancel{at: now, found: found || k.byName[name].found}
	k.oldestFirst = append(k.oldestFirst, cancelRecord{name, now})
}

// lookup returns the cancel of the name, if one is kept.
func (k *keptCancels) lookup(now time.Time, name jobName) (keptCancel, bool) {
	c, kept := k.byName[name]
	return c, kept && now.Sub(c.at) < keptCancelTime
}

// expire drops cancels that are too old and makes room for one more.
func (k *keptCancels) expire(now time.Time) {
	for len(k.oldestFirst) > 0 {
		oldest := k.oldestFirst[0]
		if len(k.oldestFirst) < maxKeptCancels && now.Sub(oldest.at) < keptCancelTime {
			return
		}
		if k.byName[oldest.name].at.Equal(oldest.at) {
			delete(k.byName, oldest.name)
		}
		k.oldestFirst = k.oldestFirst[1:]
	}
}
