package processtest

import (
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// agentLinks is the number of entries that an agent chooses (links in deploy/agent.tmpl).
	agentLinks = 12
	// A disturbance hits one of entriesPerFault entries and one of workersPerFault workers, at
	// least one each. A shorter -soak.pause does the rest for a large fleet, so that processes are
	// not all started at the same moment.
	entriesPerFault, workersPerFault = 30, 80
)

// soakBoundedFaults let agents choose other entries. Seeds use them in addition if there are
// more entries than an agent links to.
var soakBoundedFaults = []fault{
	{"remove-entry", func(s *soak, rng *rand.Rand, _ *soakWorker, _, e *soakProcess) { s.removeEntry(rng, e, false) }},
	{"replace-entry", func(s *soak, rng *rand.Rand, _ *soakWorker, _, e *soakProcess) { s.removeEntry(rng, e, true) }},
	{"kill-domain", func(s *soak, rng *rand.Rand, _ *soakWorker, _, e *soakProcess) { s.killDomain(rng, e.zone) }},
}

// removeEntry kills an entry and starts it again once agents have chosen others, perhaps at
// another address. A tenth of the entries are away at most.
func (s *soak) removeEntry(rng *rand.Rand, e *soakProcess, move bool) {
	away := 0
	for _, other := range s.entries {
		if other.isAway() {
			away++
		}
	}
	if e.isAway() || away > 0 && away >= s.size.entries/10 {
		return
	}
	e.remove(randomTime(rng, 2200*time.Millisecond, 5*time.Second))
	if move {
		e.links.close()
		links := startProxy(s, e.address, s.workerNames()...)
		s.locked(func() { e.links = links })
		s.writeEntrySettings(e)
		s.logf("%s moves to %s", e.name, e.links.address)
	}
}

// killDomain kills all entries and agents of a failure domain for up to a second, and half
// the times its workers too, which agents outlive otherwise.
func (s *soak) killDomain(rng *rand.Rand, zone string) {
	if time.Since(s.domainKilledAt) < 5*time.Second {
		return
	}
	s.domainKilledAt = time.Now()
	long, power := randomTime(rng, 0, time.Second), rng.IntN(2) == 0
	for _, p := range slices.Concat(s.entries, s.agents) {
		if p.zone == zone && !p.isAway() {
			p.remove(long)
		}
	}
	for i, w := range s.workers {
		if power && s.agents[i].zone == zone {
			s.locked(w.crash)
		}
	}
}

// targets returns how many workers or entries the fault hits.
func (f fault) targets(size soakSize) int {
	switch {
	case strings.HasSuffix(f.name, "-domain"):
		return 1
	case strings.HasSuffix(f.name, "-entry"), strings.HasSuffix(f.name, "-callers"):
		return max(1, size.entries/entriesPerFault)
	}
	return max(1, size.workers/workersPerFault)
}

// leavingMetric is the number of links that the process of an agent has ended by plan.
var leavingMetric = regexp.MustCompile(`poplarlever_link_messages_total\{direction="sent",kind="leaving"\} (\d+)`)

// countLinks counts the links, and those that the agents' present processes have ended by plan.
func (s *soak) countLinks() (linked, planned int) {
	s.locked(func() {
		for _, e := range s.entries {
			linked += e.links.peerCount()
		}
	})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	var sum atomic.Int64
	for _, a := range s.agents {
		group.Go(func() {
			resp, err := client.Get("http://" + a.address + "/metrics")
			if err != nil {
				return
			}
			content, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if found := leavingMetric.FindSubmatch(content); found != nil {
				n, _ := strconv.ParseInt(string(found[1]), 10, 64)
				sum.Add(n)
			}
		})
	}
	group.Wait()
	return linked, int(sum.Load())
}

// checkLinks counts links and waits until agents have ended some by plan: an entry that was
// away is linked again in place of the one that was chosen meanwhile.
func (s *soak) checkLinks(faults []string) {
	linked, planned := s.countLinks()
	for end := time.Now().Add(waitTimeout); planned == 0 && slices.Contains(faults, "remove-entry") && !s.over(); _, planned = s.countLinks() {
		if time.Now().After(end) {
			s.failf("no agent has ended a link by plan, though it chooses %d of %d entries", agentLinks, s.size.entries)
			return
		}
		s.sleep(time.Second)
	}
	s.locked(func() { s.counts["links"], s.counts["links ended by plan"] = linked, planned })
}

// Guards against faults of links that agents choose, end by plan and replace: fleets with as
// few entries as the other soaks have link each agent to every entry.
func TestSoakOfChosenLinks(t *testing.T) {
	soakCase{seed: 1, only: "remove-entry,replace-entry,kill-domain,crash-worker,lose-stops"}.runAt(t, soakSize{entries: 15, workers: 16, domains: 5, seconds: 9})
}
