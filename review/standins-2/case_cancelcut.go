//go:build review2

package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel-cut"] = caseCancelCut }

// nodeCut is how long an entry is cut off.
const nodeCut = 5 * time.Second

// cutOff cuts an entry off from all other machines of the system, or heals the cut. Clients
// and the store still reach it.
func (s *system) cutOff(cut *entryNode, on bool) {
	for _, e := range s.entries {
		switch {
		case !on:
			e.links.heal()
		case e == cut:
			e.links.cut(nil)
		default:
			e.links.cut(cut.process)
		}
	}
}

// caseCancelCut lets clients of one entry cancel their jobs at another one, which is cut off.
func caseCancelCut() {
	queue := newRoute("keep11")
	s := newSystem(3, 3, configuration(7, queue))
	owner, cut, third := s.entries[0], s.entries[1], s.entries[2]
	waitFor(10*time.Second, "no job is served", func() bool {
		status, _ := call("POST", owner.callers, hostName, queue.Prefix+newID(), 1500*time.Millisecond, job(50))
		return status == http.StatusOK
	})
	time.Sleep(4 * time.Second)
	one := step{Count: 1, CPU: 3100, MemMB: 64, EstimateMs: 4000}
	two, three := one, one
	two.After, three.After = []int{0}, []int{1}
	body, deadline := job(4000, one, two, three), 20*time.Second
	submit := func() string {
		id := newID()
		go call("POST", owner.callers, hostName, queue.Prefix+id, deadline, body)
		return id
	}
	ids := []string{submit(), submit(), submit()}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	if trouble {
		record("%s is cut off from the other machines", cut.name)
		s.cutOff(cut, true)
	}
	acknowledged := make([]time.Time, len(ids))
	var retries sync.WaitGroup
	for i, at := range []time.Duration{300 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second} {
		time.Sleep(time.Until(began.Add(at)))
		status, _ := call("DELETE", cut.callers, hostName, queue.Prefix+ids[i], 2*time.Second, nil)
		if status == http.StatusServiceUnavailable {
			// Retries reach other nodes.
			retries.Go(func() {
				time.Sleep(time.Second)
				if status, _ := call("DELETE", third.callers, hostName, queue.Prefix+ids[i], 2*time.Second, nil); status == http.StatusOK || status == http.StatusGone {
					acknowledged[i] = time.Now()
				}
			})
			continue
		}
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged[i] = time.Now()
		}
	}
	time.Sleep(time.Until(began.Add(nodeCut)))
	record("the cut ends")
	s.cutOff(cut, false)
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	retries.Wait()
	late := 0
	for i, id := range ids {
		if acknowledged[i].IsZero() {
			stopRun("cancel %d is not acknowledged", i+1)
		}
		if len(lateStarts(id, acknowledged[i])) > 0 {
			late++
		}
	}
	verdict(late > 0, "%d of %d cancelled jobs start a task later than %v after the cancel was acknowledged", late, len(ids), cancelLimit)
}
