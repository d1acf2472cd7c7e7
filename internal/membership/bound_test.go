package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/membership"
)

// Guards against an entry whose memory grows with the names that a peer makes up, and against
// names that keep out entries of the store's list.
func TestMadeUpMembersAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := membership.New(membership.Member{Name: "self", Incarnation: 1})
	named := func(prefix string, n int) []membership.Member {
		var all []membership.Member
		for i := range n {
			all = append(all, membership.Member{Name: fmt.Sprint(prefix, i), Address: fmt.Sprint("127.0.0.1:", 1+i), Incarnation: 1})
		}
		return all
	}
	l.Mention(now, named("mentioned", 100_000))
	for _, m := range named("contacted", 10_000) {
		l.Contact(now, m)
	}
	c.Check(len(l.Candidates()) <= 1024, qt.IsTrue)
	l.SetListed(now, named("listed", 20))
	c.Check(len(l.Known(now)) >= 20, qt.IsTrue)
	// Names that nobody repeats are forgotten and make room.
	later := now.Add(membership.ContactTTL)
	l.Contact(later, membership.Member{Name: "entry", Address: "127.0.0.1:1", Incarnation: 1})
	c.Check(len(l.Known(later)), qt.Equals, 21)
}
