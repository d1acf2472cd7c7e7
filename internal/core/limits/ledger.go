package limits

import (
	"container/heap"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// holdMargin covers clock drift between an entry and an agent, and the delay of the
// agent's timer, over the duration of one task.
const holdMargin = 100 * time.Millisecond

// Use counts the attempts of one account at this entry that may be running.
type Use struct {
	limited  bool
	allotted int
	running  int
	// held counts attempts that were given up but may still be running.
	held int
}

// MayStart reports whether one more attempt stays within the allotment.
func (u *Use) MayStart() bool { return !u.limited || u.running+u.held < u.allotted }

// Room returns how many of the given tasks may start.
func (u *Use) Room(tasks int) int {
	if !u.limited {
		return tasks
	}
	return max(0, min(tasks, u.allotted-u.Count()))
}

// Count returns the number of attempts that may be running.
func (u *Use) Count() int { return u.running + u.held }

// Ledger counts the running attempts of all accounts at one entry. Accounts without a
// limit are counted too, because they may get one while their tasks run.
type Ledger struct {
	accounts map[string]*Use
	held     map[msg.AttemptID]*Use
	expiries holdHeap
}

// NewLedger returns a ledger without running attempts and without limits.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[string]*Use), held: make(map[msg.AttemptID]*Use)}
}

// Account returns the account's use and creates it if it does not exist. The pointer
// stays valid for the lifetime of the ledger.
func (l *Ledger) Account(name string) *Use {
	u, ok := l.accounts[name]
	if !ok {
		u = &Use{}
		l.accounts[name] = u
	}
	return u
}

// MayStart reports whether one more attempt of the account stays within its allotment.
func (l *Ledger) MayStart(account string) bool {
	u, ok := l.accounts[account]
	return !ok || u.MayStart()
}

// Allot replaces all allotments. Accounts that are not in the map have no limit.
// Attempts above a lowered allotment keep running.
func (l *Ledger) Allot(allotted map[string]int) {
	for _, u := range l.accounts {
		u.limited, u.allotted = false, 0
	}
	for name, n := range allotted {
		u := l.Account(name)
		u.limited, u.allotted = true, n
	}
}

// Start counts an attempt that is being dispatched.
func (l *Ledger) Start(account string) {
	u := l.Account(account)
	invariant.Check(u.MayStart(), invariant.WithinAllotment, "account %s uses %d of %d allotted when a task starts", account, u.Count(), u.allotted)
	u.running++
}

// End stops counting an attempt that has ended or will never start.
func (l *Ledger) End(account string) { l.Account(account).running-- }

// Hold marks an attempt as given up but possibly still running. The attempt counts
// until Release, or until the given time, the latest at which it can run.
func (l *Ledger) Hold(id msg.AttemptID, account string, until time.Time) {
	u := l.Account(account)
	u.running--
	u.held++
	l.held[id] = u
	heap.Push(&l.expiries, hold{until: until.Add(holdMargin), id: id})
}

// Release stops counting a held attempt that is known to have ended.
func (l *Ledger) Release(id msg.AttemptID) {
	if u, ok := l.held[id]; ok {
		u.held--
		delete(l.held, id)
	}
}

// Expire stops counting held attempts that can no longer be running.
func (l *Ledger) Expire(now time.Time) {
	for len(l.expiries) > 0 && now.After(l.expiries[0].until) {
		l.Release(heap.Pop(&l.expiries).(hold).id)
	}
}

type hold struct {
	until time.Time
	id    msg.AttemptID
}

type holdHeap []hold

// Len implements heap.Interface.
func (h holdHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h holdHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }

// Swap implements heap.Interface.
func (h holdHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *holdHeap) Push(x any) { *h = append(*h, x.(hold)) }

// Pop implements heap.Interface.
func (h *holdHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
