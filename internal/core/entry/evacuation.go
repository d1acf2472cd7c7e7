package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// While a failure domain is evacuated, its workers get no task and count nowhere as capacity:
// neither for placement, forecasts and reserves nor for quarantine quotas and cells. Their
// agents are told, and refuse what an entry that does not know sends them.

// evacuationRefusalPause is how long a worker gets no task after its agent has refused one
// because of an evacuation that this entry does not know of. It is above the time in which an
// entry learns of one from the store or another entry, and keeps refusals to one a second for
// each worker otherwise.
const evacuationRefusalPause = time.Second

// setEvacuations applies what this process knows, and passes changes on to the agents.
func (c *Core) setEvacuations(now time.Time, r evacuation.Report) {
	changes, _ := c.evacuations.Merge(r)
	c.evacuating = len(c.evacuations.InForce()) > 0
	for _, w := range c.workers.list {
		if evacuated := c.evacuations.Evacuated(w.hello.FailureDomain); evacuated != w.evacuated {
			w.evacuated, w.refusedUntil = evacuated, time.Time{}
		}
	}
	for _, change := range changes {
		if change.Flipped {
			c.emit(EvacuationChanged{Domain: change.Domain, Workers: c.workersIn(change.Name)})
		}
	}
	if len(changes) == 0 {
		for _, w := range c.workers.list {
			c.correctEvacuation(now, w)
		}
		return
	}
	c.markCells()
	c.refuseEvacuated()
	m := msg.Evacuations{Report: c.evacuations.Report()}
	for _, w := range c.workers.list {
		c.sendTo(now, w, m)
	}
}

// sendEvacuationsTo tells an agent that has just linked what is known, if there is anything.
func (c *Core) sendEvacuationsTo(now time.Time, w *worker) {
	if r := c.evacuations.Report(); len(r.Domains) > 0 {
		c.sendTo(now, w, msg.Evacuations{Report: r})
		return
	}
	c.correctEvacuation(now, w)
}

// correctEvacuation answers an agent that holds an evacuation which this process has never
// seen, but which was withdrawn before a state that it knows in full.
func (c *Core) correctEvacuation(now time.Time, w *worker) {
	if w.hello.EvacuatedAt == 0 || w.evacuated {
		return
	}
	if r := c.evacuations.Report(); r.ListedAt > w.hello.EvacuatedAt {
		c.sendTo(now, w, msg.Evacuations{Report: r})
	}
}

// noteRefusal sends the worker no further task for a while if its agent knows of an
// evacuation that this entry does not know of.
func (w *worker) noteRefusal(now time.Time, reason verdict.RetryReason) {
	if reason == verdict.Evacuated && !w.evacuated {
		w.refusedUntil = now.Add(evacuationRefusalPause)
	}
}

func (c *Core) expireEvacuationRefusals(now time.Time) {
	for _, w := range c.workers.list {
		if !w.refusedUntil.IsZero() && !now.Before(w.refusedUntil) {
			w.refusedUntil = time.Time{}
		}
	}
}

// workersIn returns the number of known workers of a failure domain.
func (c *Core) workersIn(domain string) int {
	n := 0
	for _, w := range c.workers.list {
		if w.hello.FailureDomain == domain {
			n++
		}
	}
	return n
}

// evacuationsInForce returns the evacuated failure domains, ordered by name.
func (c *Core) evacuationsInForce() []EvacuationChanged {
	var out []EvacuationChanged
	for _, d := range c.evacuations.InForce() {
		out = append(out, EvacuationChanged{Domain: d, Workers: c.workersIn(d.Name)})
	}
	return out
}

// allEvacuated reports whether workers of the service are linked, and all of them are in
// evacuated failure domains.
func (c *Core) allEvacuated(service string) bool {
	if !c.evacuating {
		return false
	}
	found := false
	for _, w := range c.workers.list {
		if !w.linked() || w.hello.Service != service {
			continue
		}
		if !w.evacuated {
			return false
		}
		found = true
	}
	return found
}

// refuseEvacuated refuses the waiting jobs that no worker serves any more. A job of which a
// task may have run goes on waiting for the rest: it cannot be refused truthfully, and the
// evacuation may be withdrawn before its deadline.
func (c *Core) refuseEvacuated() {
	if !c.evacuating {
		return
	}
	for _, name := range c.queue.serviceNames {
		if c.queue.services[name].queuedTasks() == 0 || !c.allEvacuated(name) {
			continue
		}
		for _, j := range c.orderedJobs() {
			if j.spec.Service == name && j.running == 0 && j.jobVerdict() == verdict.NotRun {
				c.decideEnd(j, evacuatedAnswer(Failed, c.retryAfterEvacuation()))
			}
		}
	}
}

// queuedTasks returns the number of tasks that wait.
func (s *serviceQueue) queuedTasks() int {
	n := 0
	for _, a := range s.accounts {
		n += a.tasks
	}
	return n
}

// evacuatedAnswer returns the refusal of a job whose workers are all evacuated.
func evacuatedAnswer(outcome Outcome, retryAfter time.Duration) Answer {
	return Answer{
		Outcome: outcome, Verdict: verdict.NotRun, Reason: verdict.AllEvacuated,
		Message: "every worker of the service is in an evacuated failure domain", RetryAfter: retryAfter,
	}
}

// minEvacuationRetry and maxEvacuationRetry bound the time after which a caller may come back.
const (
	minEvacuationRetry = time.Second
	maxEvacuationRetry = 2 * time.Second
)

// retryAfterEvacuation returns a time between one and two seconds. Half of the callers get the
// shortest one: an adapter that rounds up to whole seconds would otherwise give all the same.
func (c *Core) retryAfterEvacuation() time.Duration {
	const spread = maxEvacuationRetry - minEvacuationRetry
	return minEvacuationRetry + max(0, time.Duration(c.rng.Int64N(int64(2*spread)))-spread)
}
