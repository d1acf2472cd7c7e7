//go:build review2

package main

import (
	"net/http"
	"time"
)

func init() { cases["cancel-dropped"] = caseCancelDropped }

// ackLimit is ackMs of the small deployments.
const ackLimit = 4 * time.Second

// caseCancelDropped cancels jobs that were taken before the operator dropped their queue.
func caseCancelDropped() {
	kept, queue := newRoute("keep11"), newRoute("gone22")
	s := newSystem(3, 3, configuration(7, kept, queue))
	waitFor(10*time.Second, "no job is served", func() bool {
		status, _ := call("POST", s.entries[0].callers, hostName, queue.Prefix+newID(), 1500*time.Millisecond, job(50))
		return status == http.StatusOK
	})
	time.Sleep(4 * time.Second)
	var steps []step
	for i := range 4 {
		one := step{Count: 1, CPU: 3100, MemMB: 64, EstimateMs: 3800}
		if i > 0 {
			one.After = []int{i - 1}
		}
		steps = append(steps, one)
	}
	ids := make([]string, len(s.entries))
	for i, e := range s.entries {
		ids[i] = newID()
		go call("POST", e.callers, hostName, queue.Prefix+ids[i], 25*time.Second, job(3800, steps...))
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.store.put("op/config", configuration(9, kept))
	} else {
		queue.TimeoutMs = 2000
		s.store.put("op/config", configuration(9, kept, queue))
	}
	record("operator: version 9 is acknowledged")
	time.Sleep(configApply + 500*time.Millisecond)
	sent := time.Now()
	acknowledged := make([]time.Time, len(ids))
	for try := 0; time.Since(sent) < ackLimit; try++ {
		for i, id := range ids {
			if !acknowledged[i].IsZero() {
				continue
			}
			// Retries reach other nodes.
			e := s.entries[(i+try)%len(s.entries)]
			if status, _ := call("DELETE", e.callers, hostName, queue.Prefix+id, time.Second, nil); status/100 == 2 || status == http.StatusGone {
				acknowledged[i] = time.Now()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(sent.Add(ackLimit + cancelLimit + 3*time.Second)))
	late := 0
	for i, id := range ids {
		from := acknowledged[i]
		if from.IsZero() {
			from = sent.Add(ackLimit)
			record("the cancel of %s has waited %v for its acknowledgement", id, ackLimit)
		}
		if len(lateStarts(id, from)) > 0 {
			late++
		}
	}
	verdict(late > 0, "%d of %d cancelled jobs start a task later than %v after their cancel was acknowledged or had waited %v", late, len(ids), cancelLimit, ackLimit)
}
