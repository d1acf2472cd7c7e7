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
	// coreMaxRunning bounds the running tasks of a fleet without a queue.
	coreMaxRunning = 640
	// entryTick is the interval of an entry's ticks.
	entryTick = 20 * time.Millisecond
	// agentTick is the interval of an agent's ticks.
	agentTick     = 50 * time.Millisecond
	coreStartUnix = int64(1_800_000_000)
)

// coreSize is the size of a coreFleet and of its load.
type coreSize struct{ workers, accounts, queued, jobTasks int }

// coreBaseSize holds the fixed values while one dimension varies: the workers per
// entry that the subset rule gives at the target size, the accounts at that size,
// and jobs of 20 tasks.
var coreBaseSize = coreSize{workers: 320, accounts: targetAccounts, queued: 1000, jobTasks: 20}

// coreFleet is one entry core and the cores of its agents, connected in memory
// with the real encoding of link messages. Its time is simulated. Processor time
// is counted by role.
type coreFleet struct {
	size    coreSize
	rng     *rand.Rand
	now     time.Time
	entry   *entry.Core
	agents  []*agent.Core
	entryID msg.Incarnation
	// Encoded messages to and from each agent that are not in a frame yet.
	pendingToAgents   []pb.EntryFrame
	pendingFromAgents []pb.AgentFrame
	// The marshalled frames in flight.
	framesToAgents, framesToEntry []coreFrame
	// running holds the attempts at the endpoints, oldest first.
	running    []coreRunningTask
	lastJobID  uint64
	unfinished int
	answered   int
	// endedTasks counts the tasks that ended since the measurement began.
	endedTasks                     int
	entryCPU, agentCPU, tickCPU    time.Duration
	entryBytes, agentBytes         int64
	mallocs, allocated             uint64
	sinceEntryTick, sinceAgentTick time.Duration
	// The numbers of tasks to keep unfinished and, of these, running.
	targetUnfinished, targetRunning int
	simulated                       time.Duration
}

type coreFrame struct {
	agent int
	bytes []byte
}

type coreRunningTask struct {
	agent   int
	attempt msg.AttemptID
}

func newCoreFleet(size coreSize, seed uint64) (*coreFleet, error) {
	cfg := slopeEntryConfig(seed, 0)
	f := &coreFleet{
		size: size, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(coreStartUnix, 0),
		entry: entry.New(cfg), entryID: cfg.Incarnation,
		pendingToAgents: make([]pb.EntryFrame, size.workers), pendingFromAgents: make([]pb.AgentFrame, size.workers),
	}
	f.targetRunning = size.workers * coreSlots
	if size.queued == 0 {
		f.targetRunning = min(coreMaxRunning, f.targetRunning*3/4)
	}
	f.targetUnfinished = f.targetRunning + size.queued
	f.entry.Step(f.now, entry.SetPolicy{Policy: slopePolicy(size.accounts)})
	for i := range size.workers {
		f.addAgent(i)
	}
	if err := f.deliverAll(); err != nil {
		return nil, err
	}
	for f.submitJob() {
	}
	if err := f.deliverAll(); err != nil {
		return nil, err
	}
	if len(f.running) < f.targetRunning*3/4 {
		return nil, fmt.Errorf("%d tasks are running, expected %d", len(f.running), f.targetRunning)
	}
	return f, nil
}

func (f *coreFleet) addAgent(i int) {
	cfg := slopeAgentConfig(i, f.now)
	a := agent.New(cfg)
	a.Step(f.now, agent.EndpointAnnounced{Service: service, Slots: coreSlots, Connections: endpointConnections, Join: 1, Number: 1})
	f.agents = append(f.agents, a)
	hello := a.Hello()
	f.entry.Step(f.now, entry.LinkUp{Link: entry.LinkID(i + 1), Clock: a.Clock(f.now), Hello: hello})
	a.Step(f.now, agent.LinkUp{Entry: f.entryID, Name: "entry-01"})
}

// deliverAll delivers messages until none is left.
func (f *coreFleet) deliverAll() error {
	f.flushEntry()
	f.flushAgents()
	for len(f.framesToAgents)+len(f.framesToEntry) > 0 {
		if err := f.deliverRound(); err != nil {
			return err
		}
	}
	return nil
}

// deliverRound delivers the frames in flight in both directions and measures the
// processor time of each role.
func (f *coreFleet) deliverRound() error {
	began := cpuTime()
	if err := f.deliverToEntry(); err != nil {
		return err
	}
	for f.submitJob() {
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

// submitJob submits a job unless enough tasks are unfinished. It reports whether
// it did.
func (f *coreFleet) submitJob() bool {
	if f.unfinished+f.size.jobTasks > max(f.targetUnfinished, f.size.jobTasks) {
		return false
	}
	f.lastJobID++
	job := entry.Job{
		ID: f.lastJobID, Service: service, JobType: jobType, Account: accountName(f.rng.IntN(f.size.accounts)),
		Tasks: make([]entry.Task, f.size.jobTasks), Deadline: f.now.Add(time.Hour),
	}
	f.entry.Step(f.now, entry.Submit{Job: job})
	f.unfinished += f.size.jobTasks
	return true
}

// flushEntry encodes the entry's pending messages. Messages to one agent share a
// frame.
func (f *coreFleet) flushEntry() {
	var touched []int
	for _, out := range f.entry.TakeOutputs() {
		switch out := out.(type) {
		case entry.Send:
			i := int(out.Link) - 1
			if len(f.pendingToAgents[i].Messages) == 0 {
				touched = append(touched, i)
			}
			f.pendingToAgents[i].Messages = append(f.pendingToAgents[i].Messages, linkpb.EncodeFromEntry(out.Message))
		case entry.Answered:
			f.answered++
		}
	}
	for _, i := range touched {
		b, _ := proto.Marshal(&f.pendingToAgents[i])
		f.pendingToAgents[i].Messages = nil
		f.entryBytes += int64(len(b) + frameOverhead)
		f.framesToAgents = append(f.framesToAgents, coreFrame{i, b})
	}
}

func (f *coreFleet) deliverToEntry() error {
	frames := f.framesToEntry
	f.framesToEntry = nil
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
	frames := f.framesToAgents
	f.framesToAgents = nil
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

// flushAgents encodes the agents' pending messages and records started tasks.
func (f *coreFleet) flushAgents() {
	for i, a := range f.agents {
		for _, out := range a.TakeOutputs() {
			switch out := out.(type) {
			case agent.Send:
				f.pendingFromAgents[i].Messages = append(f.pendingFromAgents[i].Messages, linkpb.EncodeFromAgent(out.Message))
			case agent.Start:
				f.running = append(f.running, coreRunningTask{i, out.Attempt})
			}
		}
		if len(f.pendingFromAgents[i].Messages) == 0 {
			continue
		}
		f.pendingFromAgents[i].ClockNs = int64(a.Clock(f.now))
		b, _ := proto.Marshal(&f.pendingFromAgents[i])
		f.pendingFromAgents[i].Messages = nil
		f.agentBytes += int64(len(b) + frameOverhead)
		f.framesToEntry = append(f.framesToEntry, coreFrame{i, b})
	}
}

// endTasks ends up to n running tasks, oldest first.
func (f *coreFleet) endTasks(n int) {
	began := cpuTime()
	n = min(n, len(f.running))
	for _, s := range f.running[:n] {
		f.agents[s.agent].Step(f.now, agent.TaskEnded{Attempt: s.attempt, Kind: msg.ResultOK, RunTime: coreRunTime})
	}
	f.running = f.running[n:]
	f.endedTasks += n
	f.unfinished -= n
	f.flushAgents()
	f.agentCPU += cpuTime() - began
}

// advance moves the simulated time and runs the ticks that are due.
func (f *coreFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.simulated += d
	if f.sinceAgentTick += d; f.sinceAgentTick >= agentTick {
		f.sinceAgentTick = 0
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

// runTasks runs and measures at least the given number of tasks, at the rate that
// keeps targetRunning tasks running.
func (f *coreFleet) runTasks(tasks int) error {
	step := coreRunTime * coreBatch / time.Duration(f.targetRunning)
	return f.runTasksAt(tasks, step)
}

// runTasksAt runs tasks in batches with the given simulated time between them.
func (f *coreFleet) runTasksAt(tasks int, step time.Duration) error {
	runtime.GC()
	f.entryCPU, f.agentCPU, f.tickCPU, f.endedTasks, f.simulated = 0, 0, 0, 0, 0
	f.entryBytes, f.agentBytes = 0, 0
	before := memoryStats()
	for f.endedTasks < tasks {
		f.advance(step)
		f.endTasks(coreBatch)
		for len(f.framesToEntry)+len(f.framesToAgents) > 0 {
			if err := f.deliverRound(); err != nil {
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

// perTask divides by the number of ended tasks.
func (f *coreFleet) perTask(v float64) float64 { return v / float64(f.endedTasks) }
