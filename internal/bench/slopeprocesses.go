package bench

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/fake/endpoint"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// processWindow is how long a process is measured for one point. The kernel
	// counts processor time in steps of 10 ms.
	processWindow = 3 * time.Second
	// agentProcessCount is the number of agents that share one point, since one
	// agent uses too little processor time.
	agentProcessCount = 10
	// wireTasks is the number of tasks for one point of slope-task-wire.
	wireTasks = 2000
	// wireWorkers is the number of workers that run them, each task for wireRunTime.
	wireWorkers = 24
	wireRunTime = 10 * time.Millisecond
	// wireCallers is the number of jobs in progress.
	wireCallers = 8
	wireAccount = "bench"
	wireToken   = "bench-token"
)

// entryProcessFixture is an entry in a process of its own, with a store and a fleet
// of agents in this process.
type entryProcessFixture struct {
	fleet *idleFleet
	store *fake.Server
	entry *childProcess
}

func newEntryProcessFixture(seed uint64) (*entryProcessFixture, error) {
	x := &entryProcessFixture{fleet: newIdleFleet(seed)}
	var err error
	if x.store, err = fake.Listen("127.0.0.1:0", fake.DefaultRates); err != nil {
		return nil, err
	}
	x.fleet.group.Go(func() { _ = x.store.Run(x.fleet.ctx) })
	if _, err = putAccounts(x.store, targetAccounts, 1, wireAccountRow()); err != nil {
		return nil, err
	}
	if x.entry, err = startChildProcess(x.fleet.ctx, "entry", "--name", "entry-01", "--store", x.store.Address()); err != nil {
		return nil, err
	}
	return x, x.entry.waitListening()
}

// wireAccountRow returns the table's row of the callers' account.
func wireAccountRow() string {
	return fmt.Sprintf("account,%s,,1,,,,,,,%x\n", wireAccount, sha256.Sum256([]byte(wireToken)))
}

func (x *entryProcessFixture) close() {
	x.entry.stop()
	x.fleet.close()
}

// growAgents starts agents until there are n, and waits until they follow the
// entry's table.
func (x *entryProcessFixture) growAgents(n int) error {
	if err := x.fleet.startAgents(n-len(x.fleet.agents), []string{x.entry.address}); err != nil {
		return err
	}
	if err := x.fleet.waitForRevision(1); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	return nil
}

// measureEntryProcess measures the process of a real idle entry against the number
// of linked workers.
func measureEntryProcess(r *slopeRun) error {
	cpu := r.addSeries("entry-cpu", "linked workers", "core share of the entry's process")
	resident := r.addSeries("entry-resident", "linked workers", "bytes of resident memory of the entry's process")
	x, err := newEntryProcessFixture(r.seed)
	if err != nil {
		return err
	}
	defer x.close()
	for _, n := range workerCounts {
		if err := x.growAgents(n); err != nil {
			return err
		}
		for range repetitions {
			share, err := childrenCPUUsage([]*childProcess{x.entry}, processWindow)
			if err != nil {
				return err
			}
			memory, peak, err := x.entry.memory()
			if err != nil {
				return err
			}
			cpu.add(float64(n), share)
			resident.add(float64(n), memory)
			r.setFigure("entry_peak_resident_bytes", peak)
		}
	}
	return nil
}

// measureAgentProcess measures the processes of real idle agents, with endpoints
// that announce themselves, against the number of linked entries.
func measureAgentProcess(r *slopeRun) error {
	cpu := r.addSeries("agent-cpu", "linked entries", "core share of an agent's process")
	resident := r.addSeries("agent-resident", "linked entries", "bytes of resident memory of an agent's process")
	for _, n := range entryCounts {
		err := r.withAgentProcesses(n, func(agents []*childProcess) error {
			for range repetitions {
				share, err := childrenCPUUsage(agents, processWindow)
				if err != nil {
					return err
				}
				memory, _, err := agents[0].memory()
				if err != nil {
					return err
				}
				cpu.add(float64(n), share/agentProcessCount)
				resident.add(float64(n), memory)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// withAgentProcesses runs agents in processes of their own, linked to entries in
// this process, and calls measure with them.
func (r *slopeRun) withAgentProcesses(entries int, measure func([]*childProcess) error) error {
	f := newIdleFleet(r.seed)
	defer f.close()
	if err := f.addEntries(entries, nil); err != nil {
		return err
	}
	var agents []*childProcess
	defer func() {
		for _, a := range agents {
			a.stop()
		}
	}()
	for i := range agentProcessCount {
		args := []string{"--worker", fmt.Sprintf("worker-%03d", i+1), "--links", strconv.Itoa(entries)}
		for _, address := range f.addresses() {
			args = append(args, "--entry", address)
		}
		a, err := startChildProcess(f.ctx, "agent", args...)
		if err != nil {
			return err
		}
		agents = append(agents, a)
		if err := a.waitListening(); err != nil {
			return err
		}
		if err := f.addEndpoint(a.address); err != nil {
			return err
		}
	}
	f.links = int64(entries * agentProcessCount)
	if err := f.waitForLinks(); err != nil {
		return err
	}
	return measure(agents)
}

// addEndpoint starts a fake endpoint at the agent with the given address.
func (f *idleFleet) addEndpoint(agent string) error {
	e, err := endpoint.Listen(endpoint.Config{
		Address: "127.0.0.1:0", Agent: agent, Service: service, Slots: coreSlots, Connections: endpointConnections,
		TaskTime: func([]byte) time.Duration { return wireRunTime },
	})
	if err != nil {
		return err
	}
	f.group.Go(func() {
		stop := context.AfterFunc(f.ctx, e.Kill)
		defer stop()
		_ = e.Run(f.ctx)
	})
	return nil
}

// measureTaskWire measures the processor time of a real entry's process per task,
// with callers and links over loopback connections, against the number of jobs per
// task: the slope is the cost of a job, the intercept that of a task.
func measureTaskWire(r *slopeRun) error {
	cpu := r.addSeries("entry-task-wire", "jobs per task", "processor microseconds per task in the entry's process")
	x, err := newEntryProcessFixture(r.seed)
	if err != nil {
		return err
	}
	defer x.close()
	if err := x.growAgents(wireWorkers); err != nil {
		return err
	}
	for _, address := range x.fleet.agentAddresses {
		if err := x.fleet.addEndpoint(address); err != nil {
			return err
		}
	}
	time.Sleep(2 * settleDelay)
	client := poplarleverv1connect.NewDispatchClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: wireCallers}}, "http://"+x.entry.address)
	for _, n := range []int{1, 10, 100, maxJobTasks} {
		for range repetitions {
			before, err := x.entry.cpu()
			if err == nil {
				err = submitJobs(client, n, wireTasks/n)
			}
			if err != nil {
				return err
			}
			after, err := x.entry.cpu()
			if err != nil {
				return err
			}
			cpu.add(1/float64(n), microseconds(after-before)/wireTasks)
		}
	}
	return nil
}

var errIncomplete = errors.New("the job did not complete")

// submitJobs submits jobs, at most wireCallers at a time, and returns the first
// error.
func submitJobs(client poplarleverv1connect.DispatchClient, tasks, jobs int) error {
	request := &pb.SubmitRequest{
		Service: service, JobType: jobType, Account: wireAccount, Timeout: durationpb.New(jobTimeout),
		Tasks: make([]*pb.Task, tasks),
	}
	for i := range request.Tasks {
		request.Tasks[i] = &pb.Task{Payload: make([]byte, 64)}
	}
	queue := make(chan struct{}, jobs)
	for range jobs {
		queue <- struct{}{}
	}
	close(queue)
	var group sync.WaitGroup
	errs := make(chan error, wireCallers)
	for range min(wireCallers, jobs) {
		group.Go(func() {
			for range queue {
				call := connect.NewRequest(request)
				call.Header().Set("Authorization", "Bearer "+wireToken)
				response, err := client.Submit(context.Background(), call)
				if err == nil && response.Msg.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
					err = fmt.Errorf("%w: %v", errIncomplete, response.Msg.GetFailure())
				}
				if err != nil {
					errs <- err
					return
				}
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}
