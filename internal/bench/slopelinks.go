package bench

import (
	"time"
)

const (
	// idleWindow is how long idle daemons are measured for one point.
	idleWindow = 2 * time.Second
	// slopeAgents is the number of agents while the number of entries varies.
	slopeAgents = 24
)

var (
	// workerCounts run from today's number of workers to the target.
	workerCounts = []int{11, 240, 480, 960}
	// entryCounts are the numbers of entries that are measured.
	entryCounts = []int{2, 6, 12, 24}
)

// measureLinkCPU measures one real entry with a growing number of real agents, and
// agents without an entry. The figure for a link includes both of its ends.
func measureLinkCPU(r *slopeRun) error {
	linked := r.addSeries("links", "linked workers", "core share of the entry and all agents")
	if err := r.growAgents(1, workerCounts, func(n int) { linked.add(float64(n), cpuUsage(idleWindow)) }); err != nil {
		return err
	}
	alone := r.addSeries("agents-alone", "agents without an entry", "core share of all agents")
	return r.growAgents(0, []int{0, 11, 120, 240}, func(n int) { alone.add(float64(n), cpuUsage(idleWindow/2)) })
}

// measureAgentCPU measures a fixed number of real agents against a growing number
// of real entries.
func measureAgentCPU(r *slopeRun) error {
	s := r.addSeries("entries", "linked entries", "core share per agent, both ends of its links and the entries")
	return r.forEachEntryCount(func(n int, _ *idleFleet) {
		for range repetitions {
			s.add(float64(n), cpuUsage(idleWindow)/slopeAgents)
		}
	})
}

// measureLinkMemory measures live heap and stacks by role.
func measureLinkMemory(r *slopeRun) error {
	restore := profileAllMemory()
	defer restore()
	entryHeap := r.addSeries("entry-heap", "linked workers", "bytes of live heap at the entry")
	entryStacks := r.addSeries("entry-stacks", "linked workers", "bytes of stacks at the entry")
	err := r.growAgents(1, workerCounts, func(n int) {
		m := readMemory()
		entryHeap.add(float64(n), m.entryHeap)
		entryStacks.add(float64(n), m.entryStacks)
	})
	if err != nil {
		return err
	}
	agentHeap := r.addSeries("agent-heap", "linked entries", "bytes of live heap per agent")
	agentStacks := r.addSeries("agent-stacks", "linked entries", "bytes of stacks per agent")
	return r.forEachEntryCount(func(n int, _ *idleFleet) {
		for range repetitions {
			m := readMemory()
			agentHeap.add(float64(n), m.agentHeap/slopeAgents)
			agentStacks.add(float64(n), m.agentStacks/slopeAgents)
		}
	})
}

// measureLinkBytes counts the bytes on the connections of idle links, and the
// encoded messages in them.
func measureLinkBytes(r *slopeRun) error {
	f := newIdleFleet(r.seed)
	defer f.close()
	if err := f.addEntries(1, nil); err != nil {
		return err
	}
	wire := r.addSeries("wire", "linked workers", "bytes/s on the entry's connections, both directions")
	up := r.addSeries("wire-from-agents", "linked workers", "bytes/s from agents")
	encoded := r.addSeries("encoded", "linked workers", "bytes/s of encoded messages, both directions")
	count := r.addSeries("messages", "linked workers", "messages/s, both directions")
	meter := f.entries[0].meter
	for _, n := range workerCounts {
		if err := f.addAgents(n-len(f.agents), f.meteredAddresses()); err != nil {
			return err
		}
		for range repetitions {
			in, total, before := meter.in.Load(), meter.total(), f.controlTally()
			period := 2 * idleWindow
			time.Sleep(period)
			after := f.controlTally()
			wire.add(float64(n), float64(meter.total()-total)/period.Seconds())
			up.add(float64(n), float64(meter.in.Load()-in)/period.Seconds())
			encoded.add(float64(n), float64(after.Bytes-before.Bytes)/period.Seconds())
			count.add(float64(n), float64(after.Messages-before.Messages)/period.Seconds())
		}
	}
	return nil
}

// growAgents raises the number of agents in steps and measures several times at
// each size.
func (r *slopeRun) growAgents(entries int, sizes []int, measure func(n int)) error {
	f := newIdleFleet(r.seed)
	defer f.close()
	if err := f.addEntries(entries, nil); err != nil {
		return err
	}
	for _, n := range sizes {
		if err := f.addAgents(n-len(f.agents), f.addresses()); err != nil {
			return err
		}
		for range repetitions {
			measure(n)
		}
	}
	return nil
}

// forEachEntryCount measures a new fleet for each number of entries.
func (r *slopeRun) forEachEntryCount(measure func(n int, f *idleFleet)) error {
	for _, n := range entryCounts {
		f := newIdleFleet(r.seed)
		err := f.addEntries(n, nil)
		if err == nil {
			err = f.addAgents(slopeAgents, f.addresses())
		}
		if err == nil {
			measure(n, f)
		}
		f.close()
		if err != nil {
			return err
		}
	}
	return nil
}
