package processtest

import (
	"context"
	"testing"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

const (
	// evacuateDomain is the name of the disturbance that evacuates a failure domain for a while.
	evacuateDomain = "evacuate-domain"
	// evacuationBound is the time after the store's acknowledgement from which no task may start
	// in the domain, at machines that have been undisturbed for undisturbedTime.
	evacuationBound, undisturbedTime = 5 * time.Second, 4 * time.Second
)

// evacuate requests the evacuation of a failure domain and withdraws it after a time, unless it
// is evacuated already.
func (s *soak) evacuate(zone string, long time.Duration) {
	ctx, client := context.Background(), store.NewClient(s.store)
	version, err := client.CompareAndSwap(ctx, tablestore.EvacuationsPrefix+zone, 0, []byte("{}"), 0)
	if err != nil {
		s.logf("%s is not evacuated: %v", zone, err)
		return
	}
	s.locked(func() { s.evacuatedAt[zone] = time.Now() })
	s.logf("%s is evacuated for %s", zone, long)
	s.count("evacuations")
	time.AfterFunc(long, func() {
		s.locked(func() { delete(s.evacuatedAt, zone) })
		s.logf("%s is returned to service", zone)
		if err := client.Delete(ctx, tablestore.EvacuationsPrefix+zone, version); err != nil && !s.over() {
			s.failf("the evacuation of %s cannot be withdrawn: %v", zone, err)
		}
	})
}

// checkEvacuated checks that no task starts in a domain that has been evacuated for long. mu is
// held.
func (s *soak) checkEvacuated(w *soakWorker, task string, at time.Time) {
	for i, other := range s.workers {
		if other != w || i >= len(s.agents) {
			continue
		}
		since, evacuated := s.evacuatedAt[s.agents[i].zone]
		switch {
		case !evacuated:
		case at.Sub(since) <= evacuationBound:
			s.counts["starts before the bound"]++
		case at.Sub(w.disturbedAt) < undisturbedTime:
			s.counts["starts at disturbed machines"]++
		default:
			s.failf("%s starts at %s of %s %s after the store has acknowledged the evacuation", task, w.name, s.agents[i].zone, at.Sub(since))
		}
	}
}

// Guards against a task that starts in a failure domain that is evacuated, while entries, agents
// and workers die and links break, and against the loss of a job or a second run of a task.
func TestSoakOfEvacuations(t *testing.T) {
	soakCase{seed: 1, only: evacuateDomain + ",kill-entry,kill-agent,reset-link,crash-worker"}.runAt(t,
		soakSize{entries: 3, workers: 6, domains: 3, seconds: 16, evacuations: true})
}
