//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	cancelTime = 3 * time.Second
	freezeTime = 4 * time.Second
)

// caseFrozen freezes an entry, sends it a job, and cancels the job at another entry, which cannot
// ask the frozen one.
func caseFrozen(s *system, trouble bool) error {
	s.putConfig(true, queues...)
	if err := s.build(3, 3, nil); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	frozen, other := s.entries[0], s.entries[1]
	j := s.newJob(workload{Ms: 3200, LaterMs: 1000}, 14*time.Second,
		step{Count: 2, CPU: 500, MemMB: 64, EstimateMs: 3200}, step{Count: 2, CPU: 500, MemMB: 64, EstimateMs: 1000, After: []int{0}})
	var mu sync.Mutex
	var acked time.Time
	s.onStart = func(w *worker, r *workerRun) {
		mu.Lock()
		defer mu.Unlock()
		if r.task[:16] == j.id && !acked.IsZero() && time.Since(acked) > cancelTime {
			s.fail("UNASKED", "%s begins at %v %v after the cancel was acknowledged", r.task, w, time.Since(acked))
		}
	}
	begin := time.Now()
	var group sync.WaitGroup
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		group.Go(func() {
			time.Sleep(time.Until(begin.Add(freezeTime)))
			frozen.signal(syscall.SIGCONT)
		})
	}
	group.Go(func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = s.post(context.Background(), newClient(), frozen.front, j)
	})
	time.Sleep(100 * time.Millisecond)
	for {
		status := s.cancel(other.front, j.id)
		if status == http.StatusOK || status == http.StatusGone {
			mu.Lock()
			acked = time.Now()
			mu.Unlock()
			s.logf("the cancel is acknowledged with %d", status)
			break
		}
		// Retry-After is a second.
		time.Sleep(time.Second)
	}
	group.Wait()
	return nil
}
