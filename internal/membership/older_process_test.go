package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/membership"
)

// Guards against an entry that stops because of its own dead predecessor or a
// process that started later, and against two entries that both keep running
// under one name.
func TestElderIsALiveProcessThatStartedEarlier(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	member := func(incarnation uint64, started time.Duration) membership.Member {
		return membership.Member{Name: "entry-1", Address: fmt.Sprintf("127.0.0.%d:7000", incarnation), Incarnation: incarnation, Started: start.Add(started)}
	}
	elder, younger := member(1, 0), member(2, time.Second)
	// findsElder calls SetListed once a second, with the other process included for
	// the first `listed` seconds, and reports whether Elder returns it at the end.
	findsElder := func(self, other membership.Member, listed, seconds int) bool {
		l, now := membership.New(self), start.Add(time.Second)
		for s := range seconds {
			now = start.Add(time.Duration(1+s) * time.Second)
			if s < listed {
				l.SetListed(now, []membership.Member{self, other})
			} else {
				l.SetListed(now, []membership.Member{self})
			}
		}
		_, ok := l.Elder(now)
		return ok
	}
	c.Check(findsElder(younger, elder, 30, 30), qt.IsTrue)
	c.Check(findsElder(elder, younger, 30, 30), qt.IsFalse)
	// A dead predecessor stays listed until its lease expires.
	c.Check(findsElder(younger, elder, 10, 30), qt.IsFalse)
	c.Check(findsElder(younger, elder, 10, 10), qt.IsFalse)
}

// Guards against an entry that stops soon after its start because its predecessor
// at the same address is still listed. Leases do not expire while the store is
// unavailable, so a dead process may stay listed for longer than its lease.
func TestPredecessorAtTheSameAddressIsNoElder(t *testing.T) {
	start := time.Unix(1000, 0)
	self := membership.Member{Name: "e", Address: "10.0.0.1:7000", Incarnation: 2, Started: start}
	before := membership.Member{Name: "e", Address: self.Address, Incarnation: 1, Started: start.Add(-time.Minute)}
	l := membership.New(self)
	for s := range 40 {
		l.SetListed(start.Add(time.Duration(s)*time.Second), []membership.Member{before, self})
	}
	now := start.Add(40 * time.Second)
	_, found := l.Elder(now)
	qt.Check(t, found, qt.IsFalse)
	qt.Check(t, l.Duplicates(now), qt.HasLen, 0)

	elsewhere := before
	elsewhere.Address = "10.0.0.2:7000"
	for s := range 40 {
		l.SetListed(now.Add(time.Duration(s)*time.Second), []membership.Member{elsewhere, self})
	}
	_, found = l.Elder(now.Add(40 * time.Second))
	qt.Check(t, found, qt.IsTrue, qt.Commentf("a live process at another address"))
}
