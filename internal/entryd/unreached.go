package entryd

import (
	"sync"
	"time"
)

const (
	// unreachedLimit is how long an entry that gives no answer keeps cancels uncertain. An
	// entry that is gone stays known for longer than that; by then its tasks are over.
	unreachedLimit = 2 * time.Second
	// unreachedMemory is the time without a call after which a missing answer counts as the
	// first one. Callers repeat an uncertain cancel after a second.
	unreachedMemory = 3 * time.Second
)

// unreachedEntries records since when entries have given no answer to cancels. It is safe
// for concurrent use.
type unreachedEntries struct {
	mu        sync.Mutex
	byAddress map[string]silentSpan
}

// silentSpan is the time from the first to the latest call without an answer.
type silentSpan struct{ first, latest time.Time }

// answered records an answer of the entry at the address.
func (u *unreachedEntries) answered(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byAddress, address)
}

// unanswered records a call without an answer and reports whether the entry may still have
// jobs.
func (u *unreachedEntries) unanswered(now time.Time, address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byAddress == nil {
		u.byAddress = make(map[string]silentSpan)
	}
	span, known := u.byAddress[address]
	if !known || now.Sub(span.latest) >= unreachedMemory {
		span.first = now
	}
	span.latest = now
	u.byAddress[address] = span
	return now.Sub(span.first) < unreachedLimit
}
