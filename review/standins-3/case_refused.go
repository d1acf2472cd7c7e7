//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// cutTime is how long the entry is cut off.
const cutTime = 5 * time.Second

// caseRefused cuts an entry off from the others by refused connections, and cancels its jobs at the
// others.
func caseRefused(s *system, trouble bool) error {
	s.putConfig(true, queues...)
	var proxies []*cutProxy
	if err := s.build(3, 3, func(_ int, address string) string {
		p := newCutProxy(s, address)
		if err := p.open(); err != nil {
			panic(err)
		}
		proxies = append(proxies, p)
		return p.address
	}); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	// Until each entry has heard of the others.
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	acked := make(map[string]time.Time)
	healed := time.Now()
	s.onStart = func(w *worker, r *workerRun) {
		mu.Lock()
		defer mu.Unlock()
		at, ok := acked[r.task[:16]]
		if ok && time.Since(at) > cancelTime && time.Since(healed) > contact {
			s.fail("UNASKED", "%s begins at %v %v after the cancel was acknowledged", r.task, w, time.Since(at))
		}
	}
	owner := s.entries[0]
	begin := time.Now()
	var group sync.WaitGroup
	if trouble {
		proxies[0].refuse()
		s.logf("connections to %s are refused to the other entries", owner.name)
		healed = begin.Add(cutTime)
		group.Go(func() {
			time.Sleep(time.Until(begin.Add(cutTime)))
			if err := proxies[0].open(); err != nil {
				s.logf("the cut does not heal: %v", err)
			}
			s.logf("connections to %s are accepted again", owner.name)
		})
	}
	for i, other := range s.entries[1:] {
		task := step{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 3200}
		steps := []step{task, task, task, task}
		for k := 1; k < len(steps); k++ {
			steps[k].After = []int{k - 1}
		}
		j := s.newJob(workload{Ms: 3200}, 20*time.Second, steps...)
		group.Go(func() { _, _ = s.post(context.Background(), newClient(), owner.front, j) })
		group.Go(func() {
			time.Sleep(time.Duration(300+200*i) * time.Millisecond)
			for {
				status := s.cancel(other.front, j.id)
				if status == http.StatusOK || status == http.StatusGone {
					mu.Lock()
					acked[j.id] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	group.Wait()
	return nil
}
