package bench

import (
	"container/heap"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxClockSleep is the longest sleep of the clock's thread. A waiter that is
	// added during a sleep is noticed only after it, so waits have to be longer.
	maxClockSleep = 100 * time.Microsecond
	// timerSlack is how much the kernel may delay the thread's sleeps; its
	// default of 50 µs would be a tenth of the shortest network delay.
	timerSlack = time.Microsecond
)

// preciseClock wakes waiters within some tens of microseconds of their due time.
// The Go runtime's timers may be a whole millisecond late on an idle machine,
// because the network poller waits in milliseconds.
type preciseClock struct {
	mu      sync.Mutex
	waiters waiterHeap
	wake    chan struct{}
	stop    chan struct{}
	// lead is subtracted from every due time, in nanoseconds, to compensate for
	// the time that a relay itself takes.
	lead atomic.Int64
}

type waiter struct {
	due  time.Time
	done chan struct{}
}

func newPreciseClock() *preciseClock {
	c := &preciseClock{wake: make(chan struct{}, 1), stop: make(chan struct{})}
	go c.run()
	return c
}

func (c *preciseClock) close() { close(c.stop) }

// sleepUntil returns lead before the due time, or at once when that has passed.
func (c *preciseClock) sleepUntil(due time.Time) {
	due = due.Add(-time.Duration(c.lead.Load()))
	if !time.Now().Before(due) {
		return
	}
	w := waiter{due: due, done: make(chan struct{})}
	c.mu.Lock()
	heap.Push(&c.waiters, w)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	<-w.done
}

func (c *preciseClock) run() {
	runtime.LockOSThread()
	_ = unix.Prctl(unix.PR_SET_TIMERSLACK, uintptr(timerSlack.Nanoseconds()), 0, 0, 0)
	for {
		next, ok := c.wakeDue(time.Now())
		if !ok {
			select {
			case <-c.wake:
			case <-c.stop:
				return
			}
			continue
		}
		pause := unix.NsecToTimespec(min(next, maxClockSleep).Nanoseconds())
		_ = unix.Nanosleep(&pause, nil)
	}
}

// wakeDue wakes the waiters that are due and returns the time until the next
// one. It returns false when no waiter is left.
func (c *preciseClock) wakeDue(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiters) > 0 {
		if left := c.waiters[0].due.Sub(now); left > 0 {
			return left, true
		}
		close(heap.Pop(&c.waiters).(waiter).done)
	}
	return 0, false
}

type waiterHeap []waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h waiterHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *waiterHeap) Push(x any)        { *h = append(*h, x.(waiter)) }
func (h *waiterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
