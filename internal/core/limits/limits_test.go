package limits_test

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/limits"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

// value returns a value with the given shares of account "a" for the entries 1 to n,
// each its own only elector.
func value(shares ...limits.Share) limits.Value {
	v := limits.Value{Holders: make(map[string]limits.Holder), Accounts: map[string]map[string]limits.Share{"a": {}}}
	for i, s := range shares {
		name := string(rune('1' + i))
		v.Holders[name] = limits.Holder{Incarnation: 1, Electors: []string{name}}
		v.Accounts["a"][name] = s
	}
	return v
}

// Guards against updates that raise the sum above the limit, give away what is in use,
// or leave an entry with work without a share.
func TestUpdate(t *testing.T) {
	type share = limits.Share
	for _, test := range []struct {
		name   string
		shares []share
		need   limits.Need
		want   []share
	}{
		{"takes what is free", []share{{}, {}}, limits.Need{Limit: 4, Waiting: 9}, []share{{Size: 4, Want: 0}, {}}},
		{"leaves others their part of what is free", []share{{}, {Want: 4}}, limits.Need{Limit: 4, Waiting: 9}, []share{{Size: 2, Want: 2}, {Want: 4}}},
		{"gives what is unused", []share{{Size: 4}, {Want: 3}}, limits.Need{Limit: 4, Used: 1}, []share{{Size: 1}, {Size: 3}}},
		{"keeps what is in use", []share{{Size: 4}, {Want: 4}}, limits.Need{Limit: 4, Used: 4, Waiting: 9}, []share{{Size: 4, Want: 4}, {Want: 4}}},
		{"passes on a limit of one", []share{{Size: 1}, {Want: 1}, {Want: 1}}, limits.Need{Limit: 1, Waiting: 9}, []share{{Want: 1}, {Size: 1}, {Want: 1}}},
		{"shrinks to what runs under a lowered limit", []share{{Size: 5}, {Size: 5}}, limits.Need{Limit: 4, Used: 3, Waiting: 9}, []share{{Size: 3, Want: 4}, {Size: 5}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := value(test.shares...)
			qt.Assert(t, v.Update("1", 1, map[string]limits.Need{"a": test.need}), qt.IsNil)
			want := value(test.want...)
			want.Accounts["a"]["1"] = v.Accounts["a"]["1"]
			qt.Check(t, v.Accounts["a"]["1"].Size, qt.Equals, test.want[0].Size)
			qt.Check(t, v.Accounts, qt.DeepEquals, want.Accounts)
		})
	}
	v := value(share{Size: 1})
	qt.Check(t, v.Update("1", 2, nil), qt.ErrorMatches, ".*not_holder.*")
}

// Guards against starts while the sum is above a lowered limit, or while a holder has
// not declared what it uses.
func TestAllotted(t *testing.T) {
	v := value(limits.Share{Size: 5}, limits.Share{Size: 2})
	qt.Check(t, v.Allotted("1", "a", 7), qt.Equals, 5)
	qt.Check(t, v.Allotted("1", "a", 4), qt.Equals, 2)
	qt.Check(t, v.Allotted("2", "a", 4), qt.Equals, 0)
	v.Holders["3"] = limits.Holder{Incarnation: 1}
	qt.Check(t, v.Allotted("1", "a", 7), qt.Equals, 0)
}

// Guards against a reclaim that a minority decides, that is based on another term, or
// that comes after the doubts were cleared.
func TestReclaim(t *testing.T) {
	v := value(limits.Share{Size: 3}, limits.Share{}, limits.Share{})
	v.SetElectors("1")
	qt.Check(t, v.Doubt("2", "1"), qt.IsTrue)
	qt.Check(t, v.Doubt("2", "1"), qt.IsFalse)
	qt.Check(t, v.Reclaim("1", 1, 0), qt.IsFalse)
	qt.Check(t, v.Doubt("3", "1"), qt.IsTrue)
	cleared := v.Clone()
	qt.Assert(t, cleared.Update("1", 1, nil), qt.IsNil)
	qt.Check(t, cleared.Reclaim("1", 1, 0), qt.IsFalse)
	qt.Check(t, v.Reclaim("1", 1, 1), qt.IsFalse)
	qt.Check(t, v.Reclaim("1", 1, 0), qt.IsTrue)
	qt.Check(t, v.Sum("a"), qt.Equals, 0)
}

// Guards against given-up attempts that stop counting while they may be running, or
// that count forever.
func TestLedgerHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limits.NewLedger()
	l.Allot(map[string]int{"a": 2})
	first, second := msg.AttemptID{Task: 1}, msg.AttemptID{Task: 2}
	l.Start("a")
	l.Start("a")
	qt.Check(t, func() { l.Start("a") }, qt.PanicMatches, ".*within_allotment.*")
	l.Hold(first, "a", now.Add(time.Second))
	l.Hold(second, "a", now.Add(time.Minute))
	qt.Check(t, l.Account("a").MayStart(), qt.IsFalse)
	l.Release(second)
	l.Expire(now.Add(time.Second))
	qt.Check(t, l.Account("a").Count(), qt.Equals, 1)
	l.Expire(now.Add(2 * time.Second))
	qt.Check(t, l.Account("a").Count(), qt.Equals, 0)
}
