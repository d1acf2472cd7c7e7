//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseLateCopy suspends an entry's machine. A client sends a job over an open connection, leaves at its
// deadline, sends the job to another entry after retransmitMs, and cancels it there. What it sent
// first arrives when its network stack sends it again.
func caseLateCopy(s *system, trouble bool) error {
	s.putConfig(true, queues...)
	if err := s.build(3, 3, nil); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	suspended, other := s.entries[0], s.entries[1]
	p, err := newProxy(suspended.front)
	if err != nil {
		return err
	}
	c := newClient()
	s.pending(c, p.address(), prefix)
	j := s.newJob(workload{Ms: 800}, time.Second, step{Count: 4, CPU: 500, MemMB: 64, EstimateMs: 800})
	var mu sync.Mutex
	var acked time.Time
	s.onStart = func(w *worker, r *workerRun) {
		mu.Lock()
		defer mu.Unlock()
		if r.task[:16] == j.id && !acked.IsZero() && time.Since(acked) > cancelTime {
			s.fail("UNASKED", "%s begins at %v %v after the cancel was acknowledged", r.task, w, time.Since(acked))
		}
	}
	const sentAt = 50 * time.Millisecond
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	var group sync.WaitGroup
	if trouble {
		suspended.signal(syscall.SIGSTOP)
		p.hold()
		group.Go(func() {
			at(freezeTime)
			suspended.signal(syscall.SIGCONT)
			// After 0.2, 0.6, 1.4 and 3.0 s what was not acknowledged is sent again after 6.2 s.
			at(sentAt + 6200*time.Millisecond)
			p.release()
			s.logf("what the client sent first arrives at %s", suspended.name)
		})
	}
	at(sentAt)
	leave, done := context.WithTimeout(context.Background(), j.wait)
	status, _ := s.post(leave, c, p.address(), j)
	done()
	c.CloseIdleConnections()
	if status == 0 || status == http.StatusGatewayTimeout {
		time.Sleep(1300 * time.Millisecond)
		group.Go(func() { _, _ = s.post(context.Background(), newClient(), other.front, j) })
		time.Sleep(100 * time.Millisecond)
	}
	status = s.cancel(other.front, j.id)
	if status == http.StatusOK || status == http.StatusGone {
		mu.Lock()
		acked = time.Now()
		mu.Unlock()
	}
	group.Wait()
	time.Sleep(time.Second)
	return nil
}
