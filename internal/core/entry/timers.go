package entry

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// timer is the next time at which a job or an attempt needs attention. Exactly one of job
// and attempt is set.
type timer struct {
	at      time.Time
	job     *job
	attempt *attempt
	// index is the position in the heap, or -1.
	index int
}

// key breaks ties between timers in a fixed order.
func (t *timer) key() msg.AttemptID {
	if t.attempt != nil {
		return t.attempt.id
	}
	return msg.AttemptID{Job: t.job.spec.ID}
}

// setTimer starts the timer or moves it.
func (c *Core) setTimer(t *timer, at time.Time) {
	t.at = at
	if t.index >= 0 {
		heap.Fix(&c.timers, t.index)
		return
	}
	heap.Push(&c.timers, t)
}

func (c *Core) stopTimer(t *timer) {
	if t.index >= 0 {
		heap.Remove(&c.timers, t.index)
	}
}

// fireTimers handles the timers of jobs and the probes of attempts that are due.
func (c *Core) fireTimers(now time.Time) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		t := heap.Pop(&c.timers).(*timer)
		if t.attempt != nil {
			c.probeAttempt(now, t.attempt)
			continue
		}
		c.handleJobTimer(now, t.job)
	}
}

// timerHeap orders timers by time.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), h[i].key().Compare(h[j].key())) < 0
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.index = -1
	return last
}
