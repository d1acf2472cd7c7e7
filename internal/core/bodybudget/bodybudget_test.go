package bodybudget

import (
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// client is a request of a test with the reason for which it was dropped.
type client struct {
	Request
	ended Reason
}

func open(b *Budget, now time.Time) *client {
	k := &client{}
	if k.ended = b.Open(&k.Request, func() time.Time { return now }, 8<<10, 4<<10, 1); k.ended == 0 {
		k.Track(now, nil, func(r Reason) { k.ended = r })
	}
	return k
}

func (k *client) read(now time.Time, n int64) Reason {
	return k.Read(func() time.Time { return now }, n)
}

// Guards against an order of drops other than the documented one: stalled requests first, the
// longest without progress before the others; then, for small requests only, the largest;
// complete ones never.
func TestOrderOfDrops(t *testing.T) {
	c := qt.New(t)
	b := New(Config{Bytes: 1 << 20})
	complete, older, newer, busy := open(b, at(0)), open(b, at(0)), open(b, at(0)), open(b, at(0))
	c.Assert(complete.read(at(0), 200<<10), qt.Equals, Reason(0))
	c.Assert(complete.Complete(), qt.Equals, Reason(0))
	c.Assert(older.read(at(0), 100<<10), qt.Equals, Reason(0))
	c.Assert(newer.read(at(1), 100<<10), qt.Equals, Reason(0))
	c.Assert(busy.read(at(1.9), 300<<10), qt.Equals, Reason(0))
	// 200 KiB more than the three quarters for large bodies have.
	k := open(b, at(2))
	c.Assert(k.read(at(2), 130<<10), qt.Equals, Reason(0))
	c.Check(older.ended, qt.Equals, StalledMemory)
	c.Check(newer.ended, qt.Equals, Reason(0))
	c.Assert(k.read(at(2.1), 90<<10), qt.Equals, Reason(0))
	c.Check(newer.ended, qt.Equals, StalledMemory)
	// All others make progress: a large request gets nothing, and drops nobody.
	c.Check(k.read(at(2.2), 500<<10), qt.Equals, NoMemory)
	c.Check(busy.ended, qt.Equals, Reason(0))
	// Small ones get the last quarter, and then the memory of the largest.
	for range 100 {
		c.Assert(open(b, at(2.3)).ended, qt.Equals, Reason(0))
	}
	c.Check(busy.ended, qt.Equals, Largest)
	c.Check(complete.ended, qt.Equals, Reason(0))
	c.Check(b.Used() <= b.Bytes(), qt.IsTrue)
}

// Guards against small requests that find no memory while large ones progress, and against
// clients that keep memory by sending a byte now and then.
func TestSmallRequestsAndDrips(t *testing.T) {
	c := qt.New(t)
	b := New(Config{Bytes: 1 << 20})
	var drips []*client
	for range 7 {
		k := open(b, at(0))
		c.Assert(k.read(at(0), 99<<10), qt.Equals, Reason(0))
		drips = append(drips, k)
	}
	for i := range 20 {
		for _, k := range drips {
			c.Assert(k.read(at(float64(i)/10), 1), qt.Equals, Reason(0))
		}
	}
	large := open(b, at(2))
	c.Check(large.read(at(2), 300<<10), qt.Equals, Reason(0))
	dropped := 0
	for _, k := range drips {
		if k.ended == StalledMemory {
			dropped++
		}
	}
	c.Check(dropped, qt.Equals, 3)
}

// Guards against a slow body that is dropped although there is memory, and one without any
// progress that is kept for ever.
func TestOnlyStandstillTimesOut(t *testing.T) {
	c := qt.New(t)
	b := New(Config{Bytes: 1 << 20, Timeout: 10 * time.Second})
	slow, silent := open(b, at(0)), open(b, at(0))
	for s := range 100 {
		if s%9 == 0 {
			c.Assert(slow.read(at(float64(s)), 1), qt.Equals, Reason(0))
		}
		b.Sweep(at(float64(s)))
		c.Check(silent.ended == TimedOut, qt.Equals, s >= 10)
	}
	c.Check(slow.ended, qt.Equals, Reason(0))
	c.Check(b.Incomplete(), qt.Equals, 1)
}

// Guards against memory that is counted twice or never given back, in any order of calls, and
// against a budget that is exceeded: compares the budget with the sum over its requests.
func TestUsedIsTheSumOfRequests(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, now := New(Config{Bytes: 1 << 20}), start
		var all []*client
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			if len(all) == 0 || rng.IntN(4) == 0 {
				if k := open(b, now); k.ended == 0 {
					all = append(all, k)
				}
				continue
			}
			i := rng.IntN(len(all))
			switch k := all[i]; {
			case k.ended != 0 || rng.IntN(6) == 0:
				k.Close()
				all = append(all[:i], all[i+1:]...)
			case !k.tracked:
				_ = k.Resize(now, int64(rng.IntN(100<<10)))
			case rng.IntN(5) == 0:
				_ = k.Complete()
			default:
				if r := k.read(now, int64(rng.IntN(120<<10))); r != 0 {
					k.ended = r
				}
			}
			sum := int64(0)
			for _, k := range all {
				if !k.tracked && k.ended != 0 {
					t.Fatalf("seed %d: a complete request was dropped", seed)
				}
				sum += k.charged
			}
			if sum != b.Used() || sum > b.Bytes() {
				t.Fatalf("seed %d: %d bytes are used, requests hold %d", seed, b.Used(), sum)
			}
		}
	}
}

// Guards against a reason that the glossary does not explain.
func TestGlossaryListsEveryReason(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/GLOSSARY.md")
	c.Assert(err, qt.IsNil)
	_, section, found := strings.Cut(string(page), "## Why requests and connections of peers give way")
	c.Assert(found, qt.IsTrue)
	var listed, defined []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(section, -1) {
		listed = append(listed, m[1])
	}
	for _, r := range Reasons() {
		defined = append(defined, r.String())
	}
	c.Check(listed, qt.DeepEquals, defined)
}

// Guards against data races, and a budget that is not empty in the end.
func TestConcurrentRequests(t *testing.T) {
	c := qt.New(t)
	b := New(Config{Bytes: 256 << 10, Stall: time.Nanosecond})
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 2))
			for range 300 {
				var k Request
				if b.Open(&k, time.Now, 8<<10, 4<<10, 1) != 0 {
					continue
				}
				k.Track(time.Now(), nil, func(Reason) {})
				for range rng.IntN(8) {
					if k.Read(time.Now, int64(rng.IntN(20<<10))) != 0 {
						break
					}
				}
				if k.Complete() == 0 {
					_ = k.Resize(time.Now(), 1<<10)
					k.Force(10)
				}
				k.Close()
			}
		})
	}
	group.Go(func() {
		for range 1000 {
			b.Sweep(time.Now())
			b.DropStalled(time.Now(), nil)
		}
	})
	group.Wait()
	c.Check(b.Used(), qt.Equals, int64(0))
	c.Check(b.Incomplete(), qt.Equals, 0)
}
