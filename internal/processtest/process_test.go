package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/table"
	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// patience bounds every wait of a test; it is never a measure.
const patience = 60 * time.Second

var program string

// TestMain builds the program once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "poplarlever")
	build := exec.Command("go", "build", "-o", program, "../../cmd/poplarlever")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one started process of the program.
type process struct {
	cmd     *exec.Cmd
	address string
	events  chan string
	ended   chan struct{}
}

// start runs the program and, when it logs, waits until it serves.
func start(c *qt.C, logs bool, args ...string) *process {
	p := &process{cmd: exec.Command(program, args...), events: make(chan string, 10_000), ended: make(chan struct{})}
	stdout, err := p.cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.cmd.Start(), qt.IsNil)
	addresses := make(chan string, 1)
	go p.follow(bufio.NewScanner(stdout), addresses)
	c.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	if logs {
		select {
		case p.address = <-addresses:
		case <-p.ended:
			c.Fatalf("%v ended at once", args)
		case <-time.After(patience):
			c.Fatalf("%v does not serve", args)
		}
	}
	return p
}

func (p *process) follow(lines *bufio.Scanner, addresses chan<- string) {
	for lines.Scan() {
		var line struct{ Name, Address string }
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.Name == "process_started" {
			addresses <- line.Address
		}
		select {
		case p.events <- line.Name:
		default:
		}
	}
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) signal(c *qt.C, s syscall.Signal) { c.Assert(p.cmd.Process.Signal(s), qt.IsNil) }

// waitEvent waits until the process logs the event.
func (p *process) waitEvent(c *qt.C, name string) {
	limit := time.After(patience)
	for {
		select {
		case got := <-p.events:
			if got == name {
				return
			}
		case <-limit:
			c.Fatalf("the process has not logged %s", name)
		}
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(c *qt.C) int {
	select {
	case <-p.ended:
	case <-time.After(patience):
		c.Fatalf("the process does not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// fleet is a small system of processes.
type fleet struct {
	entries, agents, endpoints []*process
	record                     string
	store                      string
}

// startFleet starts entries, and agents with one endpoint each. Entries stop
// without waiting longer than stopLimit.
func startFleet(c *qt.C, entries, workers int) *fleet {
	f := &fleet{record: filepath.Join(c.TempDir(), "starts"), store: startStore(c)}
	addresses := freeAddresses(c, entries)
	for i, address := range addresses {
		f.entries = append(f.entries, f.startEntry(c, fmt.Sprint("entry-", i), address, addresses...))
	}
	for _, entry := range f.entries {
		waitReady(c, entry.address)
	}
	for i := range workers {
		f.startWorker(c, fmt.Sprint("worker-", i), addresses...)
	}
	return f
}

func (f *fleet) startEntry(c *qt.C, name, address string, peers ...string) *process {
	args := []string{"entry", "--name", name, "--listen", address, "--authentication", "off", "--store", f.store}
	for _, peer := range peers {
		args = append(args, "--peer", peer)
	}
	return start(c, true, args...)
}

// startWorker starts an agent that knows the given entries, and its endpoint.
func (f *fleet) startWorker(c *qt.C, name string, entries ...string) {
	args := []string{"agent", "--worker", name, "--listen", "127.0.0.1:0"}
	for _, address := range entries {
		args = append(args, "--entry", address)
	}
	agent := start(c, true, args...)
	f.agents = append(f.agents, agent)
	f.endpoints = append(f.endpoints, start(c, false, "fake-endpoint", "--listen", "127.0.0.1:0", "--agent", agent.address,
		"--slots", "4", "--task-time", "5ms", "--record", f.record))
	agent.waitEvent(c, "endpoint_joined")
}

// accounts and services of the tests.
const csv = `kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256
service,route-desk,,,,,,,,,
job,settlement,route-desk,,,,,1000,,,
account,atlas,,1,,,,,,,
`

// startStore starts a stand-in store with a table in this process.
func startStore(c *qt.C) string {
	s, err := fakestore.Listen("127.0.0.1:0", fakestore.DefaultRates)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	c.Cleanup(func() { cancel(); <-done })
	decoded, err := table.Decode([]byte(csv))
	c.Assert(err, qt.IsNil)
	w := &tablestore.Writer{Store: store.NewClient(s.Address()), Who: "test"}
	_, err = w.Put(ctx, 0, decoded.Table, "table of the tests")
	c.Assert(err, qt.IsNil)
	return s.Address()
}

func waitReady(c *qt.C, address string) {
	waitFor(c, "a ready entry", func() bool {
		resp, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(c *qt.C, n int) []string {
	var all []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all
}

// starts returns how often each payload was started, from the endpoints' records.
func (f *fleet) starts(c *qt.C) map[string]int {
	content, err := os.ReadFile(f.record)
	c.Assert(err == nil || os.IsNotExist(err), qt.IsTrue)
	counts := map[string]int{}
	for line := range strings.Lines(string(content)) {
		counts[strings.TrimSpace(line)]++
	}
	return counts
}

// waitStarted waits until a task with the payload has started.
func (f *fleet) waitStarted(c *qt.C, payload string) {
	waitFor(c, payload, func() bool { return f.starts(c)[payload] > 0 })
}

func waitFor(c *qt.C, what string, condition func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("waited in vain for: %s", what)
}
