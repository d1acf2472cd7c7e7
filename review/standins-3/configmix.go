//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// configMix plays random faults while the configuration changes, and asks entries that are in
// touch for the counts of queues that were added and dropped.
func configMix(s *system, seed uint64, long time.Duration, faults string) {
	rng := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	disturbed := make(map[*process]time.Time)
	storeDisturbed := time.Time{}
	touch := func(p *process) { mu.Lock(); disturbed[p] = time.Now(); mu.Unlock() }
	type change struct {
		q       queue
		added   bool
		ackedAt time.Time
	}
	var changes []change
	end := time.Now().Add(long)
	var group sync.WaitGroup
	group.Go(func() {
		crng := rand.New(rand.NewPCG(seed, 3))
		for n := 0; time.Now().Before(end); n++ {
			add := queue{fmt.Sprintf("r-%d", n+10), fmt.Sprintf("/q%d/", n)}
			list := append([]queue(nil), queues...)
			list = append(list, add)
			s.putConfig(false, list...)
			mu.Lock()
			if len(changes) > 0 {
				changes = append(changes, change{changes[len(changes)-1].q, false, time.Now()})
			}
			changes = append(changes, change{add, true, time.Now()})
			mu.Unlock()
			time.Sleep(time.Duration(2500+crng.IntN(2500)) * time.Millisecond)
		}
	})
	for _, e := range s.entries {
		group.Go(func() {
			c := newClient()
			for time.Now().Before(end) {
				time.Sleep(60 * time.Millisecond)
				mu.Lock()
				now := time.Now()
				current, dropped := queue{}, queue{}
				if n := len(changes); n > 0 && now.Sub(changes[n-1].ackedAt) > configApply+50*time.Millisecond {
					current = changes[n-1].q
					if n > 1 {
						dropped = changes[n-2].q
					}
				}
				calm := now.Sub(disturbed[e]) > contact+100*time.Millisecond && now.Sub(storeDisturbed) > contact+100*time.Millisecond
				mu.Unlock()
				if current.name == "" || !calm {
					continue
				}
				asked := len(changes)
				st := s.pending(c, e.front, current.prefix)
				old := 404
				if dropped.name != "" {
					old = s.pending(c, e.front, dropped.prefix)
				}
				mu.Lock()
				same := len(changes) == asked && now.After(disturbed[e])
				mu.Unlock()
				if same && st == 404 {
					s.fail("CONFIG", "%s answers 404 for %s", e.name, current.prefix)
				}
				if same && old == 200 {
					s.fail("CONFIG", "%s answers 200 for %s, which was dropped", e.name, dropped.prefix)
				}
			}
		})
	}
	kinds := strings.Split(faults, ",")
	time.Sleep(time.Second)
	for time.Now().Before(end.Add(-2 * time.Second)) {
		time.Sleep(time.Duration(300+rng.IntN(2500)) * time.Millisecond)
		e := s.entries[rng.IntN(len(s.entries))]
		if e.wait(0) {
			continue
		}
		restart := func(sig syscall.Signal) {
			touch(e)
			e.signal(sig)
			group.Go(func() {
				if !e.wait(6 * time.Second) {
					e.kill()
				}
				time.Sleep(200 * time.Millisecond)
				_ = e.start()
				touch(e)
			})
		}
		switch kinds[rng.IntN(len(kinds))] {
		case "term":
			restart(syscall.SIGTERM)
		case "kill":
			restart(syscall.SIGKILL)
		case "hup":
			e.signal(syscall.SIGHUP)
		case "freeze":
			d := time.Duration(100+rng.IntN(4000)) * time.Millisecond
			touch(e)
			e.signal(syscall.SIGSTOP)
			group.Go(func() { time.Sleep(d); e.signal(syscall.SIGCONT); touch(e) })
			touch(e)
			mu.Lock()
			disturbed[e] = time.Now().Add(d)
			mu.Unlock()
		case "store":
			until := time.Now().Add(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
			mu.Lock()
			storeDisturbed = until
			mu.Unlock()
			s.store.mu.Lock()
			s.store.refuse = func(*http.Request) bool { return time.Now().Before(until) }
			s.store.mu.Unlock()
		}
	}
	group.Wait()
}
