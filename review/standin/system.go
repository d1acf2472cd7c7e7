//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is what the build of the deploy file makes.
	program = "target/poplarlever"
	// graceTime is how long a stopped process may take (graceS).
	graceTime = 6 * time.Second
	// host and prefix belong to the only route.
	host, prefix = "nony24.example", "/lohu930/"
	service      = "order-desk"
)

// process is one process that a case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// entry is an entry VM; callers is where the balancer sends its clients.
type entry struct {
	*process
	name, zone, control, callers, ready string
	args                                []string
}

// side is a VM with an agent and a worker.
type side struct {
	agent, worker                   *process
	name, zone, control, address    string
	agentArgs                       []string
	workerID, labels                string
	cpu                             int
	firstHeartbeat, agentStartDelay time.Duration
}

// system is a small deployment.
type system struct {
	dir     string
	store   *store
	entries []*entry
	sides   []*side
	rec     *recorder
	// config is the operator's configuration in force.
	config map[string]any

	mu        sync.Mutex
	processes []*process
}

// freePort returns a loopback address whose port is free. The port is below those that the
// kernel gives to outgoing connections, which could take it before it is used.
func freePort() string {
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", 12000+rand.IntN(20000))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("no free port")
}

// newSystem starts a store and the entries and sides of the zones.
func newSystem(rec *recorder, zones, sidesPerZone int, workerCPU int) (*system, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is missing: run the build of the deploy file first", program)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, rec: rec}
	if s.store, err = startStore(); err != nil {
		return nil, err
	}
	s.config = map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "bopu901", "host": host, "prefix": prefix, "service": service, "timeoutMs": 30000,
			"targetDurationMs": 4000, "stretchFactor": 2, "maxAttempts": 4, "priority": 1,
		}},
		"services": []any{map[string]any{"name": service, "rejectsOverload": true}},
		"limits":   map[string]any{},
	}
	s.store.configure(s.config)
	var seeds []string
	for z := range zones {
		e := &entry{name: fmt.Sprintf("front-%c-1", 'a'+z), zone: zoneName(z), control: freePort(), callers: freePort(), ready: freePort()}
		s.entries = append(s.entries, e)
		seeds = append(seeds, e.control)
	}
	for _, e := range s.entries {
		if e.args, err = s.settings("entry", map[string]any{
			"node": e.name, "zone": e.zone, "seeds": seeds, "limits.memoryMb": 284, "platform.address": s.store.address,
			"listen.control": e.control, "listen.front": e.callers, "listen.ready": e.ready,
		}, e.name); err != nil {
			return nil, err
		}
		if err := s.startEntry(e); err != nil {
			return nil, err
		}
	}
	for z := range zones {
		for n := range sidesPerZone {
			d := &side{name: fmt.Sprintf("side-%c-%d", 'a'+z, n+1), zone: zoneName(z), control: freePort(), address: freePort(), labels: "a", cpu: workerCPU}
			d.workerID = fmt.Sprintf("i-%c%d", 'a'+z, n+1)
			if d.agentArgs, err = s.settings("agent", map[string]any{
				"node": d.name, "zone": d.zone, "seeds": seeds, "platform.address": s.store.address, "listen.control": d.control, "service": service,
			}, d.name); err != nil {
				return nil, err
			}
			if err := s.startAgent(d); err != nil {
				return nil, err
			}
			if err := s.startWorker(d); err != nil {
				return nil, err
			}
			s.sides = append(s.sides, d)
		}
	}
	return s, s.waitReady()
}

func zoneName(z int) string { return fmt.Sprintf("kyushu-%c", 'a'+z) }

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)

// settings fills in the template of a role in the deploy file, and returns the arguments
// of its command.
func (s *system) settings(role string, values map[string]any, name string) ([]string, error) {
	template, err := os.ReadFile("deploy/" + role + ".tmpl")
	if err != nil {
		return nil, err
	}
	seeds, _ := json.Marshal(values["seeds"])
	text := strings.ReplaceAll(string(template), `[{{#seeds}}"{{.}}"{{,}}{{/seeds}}]`, string(seeds))
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			err = errors.New("no value for " + p)
		}
		return fmt.Sprint(v)
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, name+".json")
	return []string{role, "--settings", file}, os.WriteFile(file, []byte(text), 0o600)
}

// start starts a process. Each line of its output is passed on.
func (s *system) start(name string, line func(string), command string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(command, args...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line(lines.Text())
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (s *system) startEntry(e *entry) (err error) {
	e.process, err = s.start(e.name, s.rec.logOf(e.name), program, e.args...)
	return err
}

func (s *system) startAgent(d *side) (err error) {
	d.agent, err = s.start(d.name, s.rec.logOf(d.name), program, d.agentArgs...)
	return err
}

func (s *system) startWorker(d *side) (err error) {
	d.worker, err = s.start(d.name+"-worker", s.rec.workerLine, os.Args[0], "worker", "--id", d.workerID, "--name", d.name, "--address", d.address,
		"--service", service, "--agent", d.control, "--zone", d.zone, "--labels", d.labels, "--cpu", fmt.Sprint(d.cpu),
		"--first-heartbeat", d.firstHeartbeat.String())
	return err
}

// kill ends a process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// crashWorker kills the worker and notes the end of what ran there.
func (s *system) crashWorker(d *side) {
	d.worker.kill()
	s.rec.crashed(d.name)
}

// close ends all processes.
func (s *system) close() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range s.processes {
		<-p.done
	}
	_ = os.RemoveAll(s.dir)
}

// isReady asks the entry as the balancer does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until every entry is ready and has served a job.
func (s *system) waitReady() error {
	for _, e := range s.entries {
		for limit := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s does not become ready", e.name)
			}
			if !e.isReady() {
				continue
			}
			if j := newJob(1, step{count: 1, ms: 5}); j.post(e.callers, 3*time.Second).status == http.StatusOK {
				break
			}
		}
	}
	return nil
}
