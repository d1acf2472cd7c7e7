package evacuation_test

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
)

func on(name string, version uint64) evacuation.Domain {
	return evacuation.Domain{Name: name, Evacuated: true, Version: version}
}

func off(name string, version uint64) evacuation.Domain {
	return evacuation.Domain{Name: name, Version: version}
}

// history is a store in which each version begins or ends the evacuation of one domain.
type history []evacuation.Domain

// at returns the evacuated domains at a version, each with the version that began it.
func (h history) at(version uint64) map[string]uint64 {
	listed := make(map[string]uint64)
	for _, d := range h {
		if d.Version > version {
			break
		}
		delete(listed, d.Name)
		if d.Evacuated {
			listed[d.Name] = d.Version
		}
	}
	return listed
}

// listing returns what a complete listing at a version tells.
func (h history) listing(version uint64) evacuation.Report {
	r := evacuation.Report{ListedAt: version}
	for name, v := range h.at(version) {
		r.Domains = append(r.Domains, on(name, v))
	}
	return r
}

// Guards against a state that depends on the order in which processes learn of changes: an
// evacuation that comes back after its withdrawal, or a withdrawal that a late message undoes.
// Several processes get events and listings of one store late, repeatedly and in any order,
// and pass on what they know. Each has to hold, for each domain, the newest state that it was
// told of, no evacuation that a listing or a complete report shows to be withdrawn, and after
// the newest listing the state of the store.
func TestStateFollowsTheNewestReport(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		var store history
		for version := uint64(1); version <= 12; version++ {
			name := fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "domain"))
			store = append(store, evacuation.Domain{Name: name, Evacuated: rapid.Bool().Draw(t, "evacuated"), Version: version})
		}
		var processes [3]evacuation.State
		var told [3]map[string]evacuation.Domain
		for i := range told {
			told[i] = make(map[string]evacuation.Domain)
		}
		var complete [3]uint64
		learn := func(i int, d evacuation.Domain, listedAt uint64) {
			if !told[i][d.Name].Evacuated && d.Evacuated && d.Version <= complete[i] && listedAt < complete[i] {
				return
			}
			if d.Version > told[i][d.Name].Version {
				told[i][d.Name] = d
			}
		}
		learnListing := func(i int, version uint64) {
			listed := store.at(version)
			for name, v := range listed {
				learn(i, on(name, v), version)
			}
			for name, d := range told[i] {
				if _, ok := listed[name]; !ok && d.Evacuated && d.Version < version {
					told[i][name] = off(name, version)
				}
			}
			complete[i] = max(complete[i], version)
		}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			i, version := rapid.IntRange(0, 2).Draw(t, "process"), uint64(rapid.IntRange(1, 12).Draw(t, "version"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				d := store[version-1]
				processes[i].Merge(evacuation.Report{Domains: []evacuation.Domain{d}})
				learn(i, d, 0)
			case 1:
				processes[i].Merge(store.listing(version))
				learnListing(i, version)
			case 2:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				r := processes[from].Report()
				processes[i].Merge(r)
				for _, d := range r.Domains {
					learn(i, d, r.ListedAt)
				}
				if r.ListedAt > 0 {
					for name, d := range told[i] {
						if d.Evacuated && d.Version < r.ListedAt && !told[from][name].Evacuated {
							told[i][name] = off(name, r.ListedAt)
						}
					}
					complete[i] = max(complete[i], r.ListedAt)
				}
			}
			listed := store.at(complete[i])
			for _, d := range processes[i].InForce() {
				if d.Version <= complete[i] && listed[d.Name] != d.Version {
					t.Fatalf("process %d: %+v although the state is complete at version %d, %v", i, d, complete[i], listed)
				}
			}
			for name, d := range told[i] {
				if got := processes[i].Evacuated(name); got != d.Evacuated {
					t.Fatalf("process %d: %s evacuated %v, last told %+v, state %+v", i, name, got, d, processes[i].Report())
				}
			}
		}
		newest := uint64(len(store))
		for i := range processes {
			processes[i].Merge(store.listing(newest))
			inForce := make(map[string]uint64)
			for _, d := range processes[i].InForce() {
				inForce[d.Name] = d.Version
			}
			if want := store.at(newest); fmt.Sprint(inForce) != fmt.Sprint(want) {
				t.Fatalf("process %d holds %v, want %v", i, inForce, want)
			}
		}
	})
}

// Guards against a process that keeps a domain evacuated because no one that it can ask was
// there when the evacuation was withdrawn.
func TestCompleteReportWithdrawsWhatItLacks(t *testing.T) {
	c := qt.New(t)
	var s evacuation.State
	s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("a", 5), on("b", 9)}})
	changed, _ := s.Merge(evacuation.Report{ListedAt: 9})
	c.Check(changed, qt.DeepEquals, []evacuation.Change{{Domain: off("a", 9), Flipped: true}})
	c.Check(s.Evacuated("b"), qt.IsTrue, qt.Commentf("the report is not newer than the evacuation"))
	changed, _ = s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("a", 5)}})
	c.Check(changed, qt.HasLen, 0)
	c.Check(s.Evacuated("a"), qt.IsFalse)
	changed, _ = s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("other", 8)}, ListedAt: 8})
	c.Check(changed, qt.HasLen, 0, qt.Commentf("an evacuation that was withdrawn before the state was complete"))
	changed, _ = s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("other", 10)}})
	c.Check(changed, qt.HasLen, 1)
}

// Guards against a newer state that is not passed on because it does not change whether the
// domain is evacuated: a process that has seen the withdrawal in between needs it.
func TestRepeatedEvacuationIsAChange(t *testing.T) {
	var s evacuation.State
	s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("a", 5)}})
	changed, _ := s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("a", 7)}})
	qt.Assert(t, changed, qt.DeepEquals, []evacuation.Change{{Domain: on("a", 7)}})
}

// Guards against a value that no store can have and that blocks others, is taken for a state,
// or is reported again with each exchange.
func TestInvalidStatesAreRejected(t *testing.T) {
	c := qt.New(t)
	invalid := []evacuation.Domain{
		on("", 3), on(strings.Repeat("z", evacuation.MaxName+1), 3), on("\xff", 3), on("z", 0), on("z", math.MaxUint64),
	}
	var s evacuation.State
	changed, rejected := s.Merge(evacuation.Report{Domains: append(invalid, on("a", 4)), ListedAt: 6})
	c.Check(changed, qt.DeepEquals, []evacuation.Change{{Domain: on("a", 4), Flipped: true}})
	c.Check(rejected, qt.HasLen, len(invalid))
	for _, r := range rejected {
		c.Check(errorx.IsOfType(r.Err, evacuation.ErrInvalid), qt.IsTrue)
	}
	c.Check(s.Report(), qt.DeepEquals, evacuation.Report{Domains: []evacuation.Domain{on("a", 4)}, ListedAt: 6})
	_, rejected = s.Merge(evacuation.Report{Domains: []evacuation.Domain{invalid[1]}})
	c.Check(rejected, qt.HasLen, 0)
	s.Merge(evacuation.Report{ListedAt: math.MaxUint64})
	c.Check(s.Evacuated("a"), qt.IsTrue)
}

// Guards against a state without bound, an evacuation that another one displaces, and a state
// that counts as complete although a domain found no place.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	var s evacuation.State
	for i := range 3 * evacuation.MaxDomains {
		s.Merge(evacuation.Report{Domains: []evacuation.Domain{off(fmt.Sprint("old", i), uint64(1+i))}})
	}
	c.Assert(s.Report().Domains, qt.HasLen, evacuation.MaxDomains)
	for i := range evacuation.MaxDomains {
		_, rejected := s.Merge(evacuation.Report{Domains: []evacuation.Domain{on(fmt.Sprint("z", i), uint64(1+i))}})
		c.Assert(rejected, qt.HasLen, 0)
	}
	s.Merge(evacuation.Report{Domains: s.Report().Domains, ListedAt: 1000})
	_, rejected := s.Merge(evacuation.Report{Domains: []evacuation.Domain{on("more", 2000), off("other", 2001)}, ListedAt: 2002})
	c.Assert(rejected, qt.HasLen, 1)
	c.Check(errorx.IsOfType(rejected[0].Err, evacuation.ErrFull), qt.IsTrue)
	c.Check(s.InForce(), qt.HasLen, evacuation.MaxDomains)
	c.Check(s.Report().ListedAt, qt.Equals, uint64(0))
}

// Guards against a domain that stays evacuated, at a process that has missed the withdrawal or
// at one that knows better, because another process remembers an earlier withdrawal: a complete
// report that tells of the earlier one also tells that the later evacuation was withdrawn.
func TestEarlierWithdrawalHidesNoLaterOne(t *testing.T) {
	c := qt.New(t)
	var missed, complete evacuation.State
	missed.Merge(evacuation.Report{Domains: []evacuation.Domain{on("z", 10)}, ListedAt: 12})
	complete.Merge(evacuation.Report{Domains: []evacuation.Domain{off("z", 5)}})
	complete.Merge(evacuation.Report{Domains: []evacuation.Domain{off("z", 5)}, ListedAt: 20})
	complete.Merge(missed.Report())
	c.Check(complete.Evacuated("z"), qt.IsFalse, qt.Commentf("withdrawn by version 20"))
	missed.Merge(complete.Report())
	c.Check(missed.Evacuated("z"), qt.IsFalse, qt.Commentf("withdrawn by version 20"))
	complete.Merge(evacuation.Report{Domains: []evacuation.Domain{on("z", 21)}})
	missed.Merge(complete.Report())
	c.Check(complete.Evacuated("z") && missed.Evacuated("z"), qt.IsTrue)
}

// Guards against a domain that another process takes back because this one, which has found no
// place for it, counts as complete again after a listing from before the evacuation.
func TestOldListingCompletesNothing(t *testing.T) {
	c := qt.New(t)
	var s evacuation.State
	var known []evacuation.Domain
	for i := range evacuation.MaxDomains {
		known = append(known, on(fmt.Sprint("z", i), uint64(1+i)))
	}
	s.Merge(evacuation.Report{Domains: known, ListedAt: 100})
	_, rejected := s.Merge(evacuation.Report{Domains: append(known, on("more", 150)), ListedAt: 200})
	c.Assert(rejected, qt.HasLen, 1)
	s.Merge(evacuation.Report{Domains: known, ListedAt: 120})
	c.Check(s.Report().ListedAt <= 149, qt.IsTrue, qt.Commentf("complete at %d without the domain", s.Report().ListedAt))
	s.Merge(evacuation.Report{Domains: known, ListedAt: 300})
	s.Merge(evacuation.Report{Domains: append(known, on("more", 350))})
	s.Merge(evacuation.Report{Domains: known, ListedAt: 290})
	c.Check(s.Report().ListedAt, qt.Equals, uint64(0))
}
