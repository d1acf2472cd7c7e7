//go:build review2

package main

import (
	"net/http"
	"time"
)

func init() { cases["cancel-again"] = caseCancelAgain }

const (
	// cancelLimit is cancel_ms, and resendPause retransmitMs, of the small deployments.
	cancelLimit = 3 * time.Second
	resendPause = 1300 * time.Millisecond
)

// lateStarts returns the starts of the job's tasks later than cancelLimit after the
// acknowledgement of its cancel.
func lateStarts(id string, acknowledged time.Time) []loggedRun {
	var late []loggedRun
	for _, r := range runsOf(id) {
		if r.started.After(acknowledged.Add(cancelLimit)) {
			record("run %d of %s starts at worker %s %.3f s after the cancel was acknowledged", r.number, r.task, r.worker, r.started.Sub(acknowledged).Seconds())
			late = append(late, r)
		}
	}
	return late
}

// caseCancelAgain cancels jobs at the entries that have them. A client whose job is answered
// 504 sends it again, at another entry.
func caseCancelAgain() {
	queue := newRoute("keep11")
	s := newSystem(3, 3, configuration(7, queue))
	body := job(2500, step{Count: 1, CPU: 3100, MemMB: 64, EstimateMs: 2500}, step{Count: 1, CPU: 3100, MemMB: 64, EstimateMs: 2500, After: []int{0}})
	deadline := 10 * time.Second
	waitFor(10*time.Second, "no job is served", func() bool {
		status, _ := call("POST", s.entries[0].callers, hostName, queue.Prefix+newID(), 1500*time.Millisecond, job(50))
		return status == http.StatusOK
	})
	time.Sleep(4 * time.Second)
	late, cancelled := 0, 0
	for i, e := range s.entries {
		id, other := newID(), s.entries[(i+1)%len(s.entries)]
		answers := make(chan int, 1)
		go func() {
			status, _ := call("POST", e.callers, hostName, queue.Prefix+id, deadline, body)
			answers <- status
		}()
		time.Sleep(500 * time.Millisecond)
		status, _ := call("DELETE", e.callers, hostName, queue.Prefix+id, deadline, nil)
		acknowledged := time.Now()
		if status != http.StatusOK && status != http.StatusGone {
			stopRun("the cancel is not acknowledged")
		}
		cancelled++
		status = <-answers
		if trouble && (status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout) {
			time.Sleep(resendPause)
			call("POST", other.callers, hostName, queue.Prefix+id, deadline, body)
		}
		time.Sleep(time.Until(acknowledged.Add(cancelLimit + 2*time.Second)))
		if len(lateStarts(id, acknowledged)) > 0 {
			late++
		}
	}
	verdict(late > 0, "%d of %d cancelled jobs start a task later than %v after the cancel was acknowledged", late, cancelled, cancelLimit)
}
