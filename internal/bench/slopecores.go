package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

const (
	coreSlots = 8
	// coreRunTime is the time that every task takes at the endpoint.
	coreRunTime = 500 * time.Millisecond
	// coreBatch is the number of tasks that end together, so that the clock is
	// read rarely.
	coreBatch = 64
	// coreRunning bounds the running tasks of a fleet without a queue.
	coreRunning = 640
	// entryTick is the interval of an entry's ticks.
	entryTick = 20 * time.Millisecond
	// agentTick is the interval of an agent's ticks.
	agentTick = 50 * time.Millisecond
	coreStart = int64(1_800_000_000)
)

// coreSize is a size of the fleet and its load.
type coreSize struct{ workers, accounts, queued, jobTasks int }

// coreBase is what stays while one dimension varies: the target's workers per
// entry under the subset rule, its accounts, and jobs of 20 tasks.
var coreBase = coreSize{workers: 320, accounts: targetAccounts, queued: 1000, jobTasks: 20}

// coreFleet is one entry core and its agents' cores, joined in memory with the
// links' real encoding. Its time is simulated. Processor time is kept by role.
type coreFleet struct {
	size    coreSize
	rng     *rand.Rand
	now     time.Time
	entry   *entry.Core
	agents  []*agent.Core
	entryID msg.Incarnation
	// outbound holds encoded messages to each agent, inbound from each.
	outbound []pb.EntryFrame
	inbound  []pb.AgentFrame
	// wireOut and wireIn hold the marshalled frames in flight.
	wireOut, wireIn []coreFrame
	// running holds the attempts at the endpoints, the oldest first.
	running  []coreStartedTask
	lastJob  uint64
	inSystem int
	answered int
	// tasks counts ended tasks since the measurement began.
	tasks                        int
	entryCPU, agentCPU, tickCPU  time.Duration
	entryBytes, agentBytes       int64
	mallocs, allocated           uint64
	sinceEntryTick, sinceAgtTick time.Duration
	// target is the number of tasks in the system, concurrent those that run.
	target, concurrent int
	simulated          time.Duration
}

type coreFrame struct {
	agent int
	bytes []byte
}

type coreStartedTask struct {
	agent   int
	attempt msg.AttemptID
}

func newCoreFleet(size coreSize, seed uint64) (*coreFleet, error) {
	cfg := slopeEntryConfig(seed, 0)
	f := &coreFleet{
		size: size, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(coreStart, 0),
		entry: entry.New(cfg), entryID: cfg.Incarnation,
		outbound: make([]pb.EntryFrame, size.workers), inbound: make([]pb.AgentFrame, size.workers),
	}
	f.concurrent = size.workers * coreSlots
	if size.queued == 0 {
		f.concurrent = min(coreRunning, f.concurrent*3/4)
	}
	f.target = f.concurrent + size.queued
	f.entry.Step(f.now, entry.SetPolicy{Policy: slopePolicy(size.accounts)})
	for i := range size.workers {
		f.link(i)
	}
	if err := f.settle(); err != nil {
		return nil, err
	}
	for f.submit() {
	}
	if err := f.settle(); err != nil {
		return nil, err
	}
	if len(f.running) < f.concurrent*3/4 {
		return nil, fmt.Errorf("%d tasks run, %d were expected", len(f.running), f.concurrent)
	}
	return f, nil
}

func (f *coreFleet) link(i int) {
	cfg := slopeAgentConfig(i, f.now)
	a := agent.New(cfg)
	a.Step(f.now, agent.EndpointAnnounced{Service: service, Slots: coreSlots, Connections: endpointConnections, Join: 1, Number: 1})
	f.agents = append(f.agents, a)
	hello := a.Hello()
	f.entry.Step(f.now, entry.LinkUp{Link: entry.LinkID(i + 1), Clock: a.Clock(f.now), Hello: hello})
	a.Step(f.now, agent.LinkUp{Entry: f.entryID, Name: "entry-01"})
}

// settle passes messages until none is left.
func (f *coreFleet) settle() error {
	f.flushEntry()
	f.flushAgents()
	for len(f.wireOut)+len(f.wireIn) > 0 {
		if err := f.exchange(); err != nil {
			return err
		}
	}
	return nil
}

// exchange passes what is in flight, and measures each role.
func (f *coreFleet) exchange() error {
	began := cpuTime()
	if err := f.deliverToEntry(); err != nil {
		return err
	}
	for f.submit() {
	}
	f.flushEntry()
	middle := cpuTime()
	if err := f.deliverToAgents(); err != nil {
		return err
	}
	f.flushAgents()
	f.entryCPU += middle - began
	f.agentCPU += cpuTime() - middle
	return nil
}

// submit brings a job unless enough tasks are in the system.
func (f *coreFleet) submit() bool {
	if f.inSystem+f.size.jobTasks > max(f.target, f.size.jobTasks) {
		return false
	}
	f.lastJob++
	job := entry.Job{
		ID: f.lastJob, Service: service, JobType: jobType, Account: accountName(f.rng.IntN(f.size.accounts)),
		Tasks: make([]entry.Task, f.size.jobTasks), Deadline: f.now.Add(time.Hour),
	}
	f.entry.Step(f.now, entry.Submit{Job: job})
	f.inSystem += f.size.jobTasks
	return true
}

// flushEntry encodes what the entry has to send. Messages to one agent share a
// frame.
func (f *coreFleet) flushEntry() {
	var touched []int
	for _, out := range f.entry.Drain() {
		switch out := out.(type) {
		case entry.Send:
			i := int(out.Link) - 1
			if len(f.outbound[i].Messages) == 0 {
				touched = append(touched, i)
			}
			f.outbound[i].Messages = append(f.outbound[i].Messages, linkpb.EncodeFromEntry(out.Message))
		case entry.Answered:
			f.answered++
		}
	}
	for _, i := range touched {
		b, _ := proto.Marshal(&f.outbound[i])
		f.outbound[i].Messages = nil
		f.entryBytes += int64(len(b) + frameOverhead)
		f.wireOut = append(f.wireOut, coreFrame{i, b})
	}
}

func (f *coreFleet) deliverToEntry() error {
	frames := f.wireIn
	f.wireIn = nil
	for _, in := range frames {
		var frame pb.AgentFrame
		if err := proto.Unmarshal(in.bytes, &frame); err != nil {
			return err
		}
		for _, encoded := range frame.GetMessages() {
			m, err := linkpb.DecodeFromAgent(encoded)
			if err != nil {
				return err
			}
			f.entry.Step(f.now, entry.Received{Link: entry.LinkID(in.agent + 1), Clock: time.Duration(frame.GetClockNs()), Message: m})
		}
	}
	return nil
}

func (f *coreFleet) deliverToAgents() error {
	frames := f.wireOut
	f.wireOut = nil
	for _, in := range frames {
		var frame pb.EntryFrame
		if err := proto.Unmarshal(in.bytes, &frame); err != nil {
			return err
		}
		for _, encoded := range frame.GetMessages() {
			m, err := linkpb.DecodeFromEntry(encoded)
			if err != nil {
				return err
			}
			f.agents[in.agent].Step(f.now, agent.Received{Entry: f.entryID, Message: m})
		}
	}
	return nil
}

// flushAgents encodes what the agents have to send and notes started tasks.
func (f *coreFleet) flushAgents() {
	for i, a := range f.agents {
		for _, out := range a.Drain() {
			switch out := out.(type) {
			case agent.Send:
				f.inbound[i].Messages = append(f.inbound[i].Messages, linkpb.EncodeFromAgent(out.Message))
			case agent.Start:
				f.running = append(f.running, coreStartedTask{i, out.Attempt})
			}
		}
		if len(f.inbound[i].Messages) == 0 {
			continue
		}
		f.inbound[i].ClockNs = int64(a.Clock(f.now))
		b, _ := proto.Marshal(&f.inbound[i])
		f.inbound[i].Messages = nil
		f.agentBytes += int64(len(b) + frameOverhead)
		f.wireIn = append(f.wireIn, coreFrame{i, b})
	}
}

// endTasks ends a batch of running tasks.
func (f *coreFleet) endTasks(n int) {
	began := cpuTime()
	n = min(n, len(f.running))
	for _, s := range f.running[:n] {
		f.agents[s.agent].Step(f.now, agent.TaskEnded{Attempt: s.attempt, Kind: msg.ResultOK, RunTime: coreRunTime})
	}
	f.running = f.running[n:]
	f.tasks += n
	f.inSystem -= n
	f.flushAgents()
	f.agentCPU += cpuTime() - began
}

// advance moves the time and ticks what is due.
func (f *coreFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.simulated += d
	if f.sinceAgtTick += d; f.sinceAgtTick >= agentTick {
		f.sinceAgtTick = 0
		for _, a := range f.agents {
			a.Tick(f.now)
		}
		f.flushAgents()
	}
	for f.sinceEntryTick += d; f.sinceEntryTick >= entryTick; f.sinceEntryTick -= entryTick {
		began := cpuTime()
		f.entry.Tick(f.now)
		f.flushEntry()
		f.tickCPU += cpuTime() - began
	}
}

// work runs the given number of tasks at the rate at which that many are
// running, and measures them.
func (f *coreFleet) work(tasks int) error {
	step := coreRunTime * coreBatch / time.Duration(f.concurrent)
	return f.workAt(tasks, step)
}

// workAt runs tasks in batches with the given simulated time between them.
func (f *coreFleet) workAt(tasks int, step time.Duration) error {
	runtime.GC()
	f.entryCPU, f.agentCPU, f.tickCPU, f.tasks, f.simulated = 0, 0, 0, 0, 0
	f.entryBytes, f.agentBytes = 0, 0
	before := memoryStats()
	for f.tasks < tasks {
		f.advance(step)
		f.endTasks(coreBatch)
		for len(f.wireIn)+len(f.wireOut) > 0 {
			if err := f.exchange(); err != nil {
				return err
			}
		}
	}
	after := memoryStats()
	f.mallocs, f.allocated = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc
	return nil
}

func memoryStats() runtime.MemStats {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

// perTask divides by the number of tasks.
func (f *coreFleet) perTask(v float64) float64 { return v / float64(f.tasks) }
