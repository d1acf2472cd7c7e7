//go:build review

package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// caseSuspended suspends an entry's machine. A client sends a job over an open connection, leaves at
// its deadline, and sends the job to another entry after retransmitMs.
func caseSuspended(s *system, trouble bool) error {
	s.putConfig(true, queues...)
	if err := s.build(3, 4, nil); err != nil {
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
	j := s.newJob(workload{Ms: 1200}, 1500*time.Millisecond, step{Count: 6, CPU: 500, MemMB: 64, EstimateMs: 1200})
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	var group sync.WaitGroup
	if trouble {
		suspended.signal(syscall.SIGSTOP)
		p.hold()
		group.Go(func() {
			at(freezeTime)
			suspended.signal(syscall.SIGCONT)
			// The client's network stack sends again what was not acknowledged: 3 s after the first time.
			at(1050*time.Millisecond + 3*time.Second)
			p.release()
			s.logf("what the client sent arrives at %s", suspended.name)
		})
	}
	at(1050 * time.Millisecond)
	leave, done := context.WithTimeout(context.Background(), j.wait)
	status, _ := s.post(leave, c, p.address(), j)
	done()
	c.CloseIdleConnections()
	if status == 0 || status == 504 {
		time.Sleep(1300 * time.Millisecond)
		_, _ = s.post(context.Background(), newClient(), other.front, j)
	}
	group.Wait()
	time.Sleep(time.Second)
	return nil
}
