// Package bodybudget bounds the memory that the requests in progress of a process hold:
// their bodies as far as they have arrived, and their decoded forms.
//
// A request is incomplete until its whole body has arrived. When the memory is used up,
// incomplete requests that make no progress are dropped first, then, for the sake of a
// small request, the largest incomplete one. A complete request is never dropped. Only
// progress counts, not how long a request takes.
//
// The package does no I/O and reads no clock. It is safe for concurrent use.
package bodybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// granule is the step in which the memory of a body grows, in bytes, and the progress
	// that keeps a request from counting as stalled. With bytes as the measure, a client
	// that sends one a second would hold its memory as long as it likes.
	granule = 16 << 10
	// DefaultStall is the time without progress after which a request is dropped when
	// memory or connections are needed.
	DefaultStall = time.Second
	// DefaultTimeout is the time without any byte after which a request is dropped in any
	// case. It outlasts a lost path that is repaired and a client that stands still.
	DefaultTimeout = 60 * time.Second
	// smallBytes is the largest memory of a small request.
	smallBytes = 2 * granule
	// largeShare is the part of the memory that other requests may use: three quarters.
	largeNumerator, largeDenominator = 3, 4
)

// Config configures a Budget.
type Config struct {
	// Bytes is the memory of all requests.
	Bytes int64
	// Stall and Timeout are DefaultStall and DefaultTimeout if zero.
	Stall, Timeout time.Duration
}

// Budget is the memory of all requests of a process.
type Budget struct {
	cfg  Config
	used atomic.Int64

	mu sync.Mutex
	// incomplete holds the requests that may be dropped, in no order.
	incomplete []*Request
}

// New returns a budget of which nothing is used.
func New(cfg Config) *Budget {
	if cfg.Stall == 0 {
		cfg.Stall = DefaultStall
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Budget{cfg: cfg}
}

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 { return b.cfg.Bytes }

// Used returns how much of the budget is used. It may exceed the size by what Force added.
func (b *Budget) Used() int64 { return b.used.Load() }

// Incomplete returns the number of requests whose bodies are awaited.
func (b *Budget) Incomplete() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.incomplete)
}

// Request is the memory of one request. Its methods are called by the request's goroutine
// only. The zero value is ready for Open.
type Request struct {
	budget *Budget
	// factor is the number of bytes in memory for each byte of the body.
	factor int64
	// charged is the memory that is counted, covered the part of it for the body. While the
	// request is incomplete, charged is guarded by Budget.mu.
	charged, covered int64
	// read is the number of bytes of the body that have arrived.
	read atomic.Int64

	// tracked is set from Track until the body is complete.
	tracked bool
	group   any
	// The fields below are guarded by Budget.mu.
	index      int
	dropped    Reason
	progressAt time.Time
	// seenRead is the value of read that Sweep saw first at seenAt.
	seenRead int64
	seenAt   time.Time

	// dropMu guards onDrop, which is nil once the request has been closed.
	dropMu sync.Mutex
	onDrop func(Reason)
}

// Open counts a request with what it holds before its body is read: base bytes, which include
// those of the first covered bytes of the body. Each further byte counts factor times. It
// returns NoMemory, and counts nothing, if there is no room. The clock is read only when memory is
// short, as in Read.
func (b *Budget) Open(r *Request, clock func() time.Time, base, covered, factor int64) Reason {
	r.budget, r.factor, r.covered = b, max(factor, 1), covered
	if !b.tryAdd(base, b.cfg.Bytes) && !b.makeRoom(clock(), base, b.cfg.Bytes, r) {
		return NoMemory
	}
	r.charged = base
	return 0
}

// Track makes a request known whose body has not arrived at once. Until Complete, it may be
// dropped: onDrop is called, on any goroutine, and must make the request's goroutine stop
// waiting for the body. It is not called after Close. The group is that of DropStalled.
func (r *Request) Track(now time.Time, group any, onDrop func(Reason)) {
	r.onDrop, r.group, r.tracked = onDrop, group, true
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.progressAt, r.seenAt, r.seenRead = now, now, r.read.Load()
	r.index = len(b.incomplete)
	b.incomplete = append(b.incomplete, r)
}

// Read counts n more bytes of the body of a tracked request. It takes a lock once in a granule.
// The result is not zero if the request was dropped, or is refused and has to be closed.
func (r *Request) Read(clock func() time.Time, n int64) Reason {
	read := r.read.Add(n)
	if read <= r.covered {
		return 0
	}
	b, now := r.budget, clock()
	grow := (read - r.covered + granule - 1) / granule * granule
	b.mu.Lock()
	if r.dropped != 0 {
		b.mu.Unlock()
		return r.dropped
	}
	r.progressAt = now
	large := r.charged+grow*r.factor > smallBytes
	limit := b.cfg.Bytes
	if large {
		limit = limit / largeDenominator * largeNumerator
	}
	b.mu.Unlock()
	if !b.makeRoom(now, grow*r.factor, limit, r) {
		if reason := r.wasDropped(); reason != 0 {
			return reason
		}
		return NoMemory
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.dropped != 0 {
		b.used.Add(-grow * r.factor)
		return r.dropped
	}
	r.charged += grow * r.factor
	r.covered += grow
	return 0
}

func (r *Request) wasDropped() Reason {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.dropped
}

// Complete says that the whole body has arrived. From then on the request is not dropped. The
// result is not zero if it was dropped before.
func (r *Request) Complete() Reason {
	if !r.tracked {
		return 0
	}
	b := r.budget
	b.mu.Lock()
	if r.dropped == 0 {
		b.remove(r)
		r.tracked = false
	}
	reason := r.dropped
	b.mu.Unlock()
	return reason
}

// Resize replaces the memory of a complete request, for example when the body has been decoded.
// It returns NoMemory, and leaves the memory as it is, if there is no room.
func (r *Request) Resize(now time.Time, bytes int64) Reason {
	b, more := r.budget, bytes-r.charged
	switch {
	case more > 0 && !b.tryAdd(more, b.cfg.Bytes) && !b.makeRoom(now, more, b.cfg.Bytes, r):
		return NoMemory
	case more < 0:
		b.used.Add(more)
	}
	r.charged = bytes
	return 0
}

// Restart makes a request that carries one message after the other ready for the next one. The
// arguments are those of Open. The result is not zero if it was dropped.
func (r *Request) Restart(now time.Time, base, covered int64) Reason {
	if reason := r.Complete(); reason != 0 {
		return reason
	}
	r.read.Store(0)
	r.covered = covered
	return r.Resize(now, base)
}

// Force adds to the memory of a complete request whether there is room or not. It is meant for
// answers, which cannot be refused any more: new requests are refused instead.
func (r *Request) Force(bytes int64) {
	r.budget.used.Add(bytes)
	r.charged += bytes
}

// Close gives back the memory of the request.
func (r *Request) Close() {
	if r.budget == nil {
		return
	}
	if r.onDrop != nil {
		r.dropMu.Lock()
		r.onDrop = nil
		r.dropMu.Unlock()
	}
	b := r.budget
	if r.tracked {
		b.mu.Lock()
		if r.dropped == 0 {
			b.remove(r)
		}
		r.tracked = false
		b.mu.Unlock()
	}
	b.used.Add(-r.charged)
	r.charged, r.budget = 0, nil
}

// DropStalled drops the request of a group that has made no progress for the longest time, if
// that is at least the stall time. It reports whether there was one.
func (b *Budget) DropStalled(now time.Time, group any) bool {
	b.mu.Lock()
	victim := b.longestStalled(now, func(r *Request) bool { return r.group == group })
	if victim != nil {
		b.drop(victim, StalledConnection)
	}
	b.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.notify(StalledConnection)
	return true
}

// Sweep drops the requests of which no byte has arrived for the timeout. It has to be called a
// few times in each timeout.
func (b *Budget) Sweep(now time.Time) {
	var victims []*Request
	b.mu.Lock()
	for i := len(b.incomplete) - 1; i >= 0; i-- {
		r := b.incomplete[i]
		if read := r.read.Load(); read != r.seenRead {
			r.seenRead, r.seenAt = read, now
		} else if now.Sub(r.seenAt) >= b.cfg.Timeout {
			b.drop(r, TimedOut)
			victims = append(victims, r)
		}
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.notify(TimedOut)
	}
}

// tryAdd adds n to what is used unless that would exceed limit.
func (b *Budget) tryAdd(n, limit int64) bool {
	for {
		used := b.used.Load()
		if used+n > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// makeRoom adds need to what is used, up to limit. If there is no room, it drops incomplete
// requests other than r until there is, and returns false if that does not help.
func (b *Budget) makeRoom(now time.Time, need, limit int64, r *Request) bool {
	var stalled, largest []*Request
	b.mu.Lock()
	ok := true
	for !b.tryAdd(need, limit) {
		if v := b.longestStalled(now, func(other *Request) bool { return other != r }); v != nil {
			b.drop(v, StalledMemory)
			stalled = append(stalled, v)
			continue
		}
		// A large request does not displace others that make progress.
		v := b.largest(r)
		if limit < b.cfg.Bytes || v == nil {
			ok = false
			break
		}
		b.drop(v, Largest)
		largest = append(largest, v)
	}
	b.mu.Unlock()
	for _, v := range stalled {
		v.notify(StalledMemory)
	}
	for _, v := range largest {
		v.notify(Largest)
	}
	return ok
}

// longestStalled returns the incomplete request, among those that match, that has made no
// progress for the longest time, or nil if none has stalled. mu is held.
func (b *Budget) longestStalled(now time.Time, match func(*Request) bool) *Request {
	var found *Request
	for _, r := range b.incomplete {
		if now.Sub(r.progressAt) >= b.cfg.Stall && (found == nil || r.progressAt.Before(found.progressAt)) && match(r) {
			found = r
		}
	}
	return found
}

// largest returns the incomplete request, other than except, that uses the most memory and is
// not small, or nil. mu is held.
func (b *Budget) largest(except *Request) *Request {
	var found *Request
	for _, r := range b.incomplete {
		if r != except && r.charged > smallBytes && (found == nil || r.charged > found.charged) {
			found = r
		}
	}
	return found
}

// drop ends an incomplete request. Its memory counts as free at once, since its goroutine gives
// it up as soon as it is notified. mu is held.
func (b *Budget) drop(r *Request, reason Reason) {
	b.remove(r)
	r.dropped = reason
	b.used.Add(-r.charged)
	r.charged = 0
}

// remove removes a request from the incomplete ones. mu is held.
func (b *Budget) remove(r *Request) {
	last := len(b.incomplete) - 1
	moved := b.incomplete[last]
	b.incomplete[r.index] = moved
	moved.index = r.index
	b.incomplete[last] = nil
	b.incomplete = b.incomplete[:last]
}

func (r *Request) notify(reason Reason) {
	r.dropMu.Lock()
	defer r.dropMu.Unlock()
	if r.onDrop != nil {
		r.onDrop(reason)
	}
}
