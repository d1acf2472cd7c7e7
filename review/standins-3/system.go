//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const contracts = "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"

// process is one process of the project.
type process struct {
	s        *system
	name     string
	args     []string
	settings string
	control  string
	front    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// system is a small deployment with stand-ins for what is outside.
type system struct {
	dir     string
	service string
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	version int

	mu      sync.Mutex
	record  *os.File
	begin   time.Time
	cpu     map[string]float64
	running map[string][]activeRun
	broken  []string
	// onStart, unless nil, is called with each run that begins.
	onStart func(w *worker, r *workerRun)
}

type activeRun struct {
	w *worker
	r *workerRun
}

func newSystem(record string) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, service: "desk", record: f, begin: time.Now(), cpu: make(map[string]float64), running: make(map[string][]activeRun)}
	s.store, err = newStore()
	return s, err
}

func (s *system) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.begin).Seconds()}, args...)...)
}

// fail records that a rule was broken.
func (s *system) fail(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	s.logf("BROKEN %s", text)
	s.mu.Lock()
	s.broken = append(s.broken, text)
	s.mu.Unlock()
}

func (s *system) cpuOf(task string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	if c, ok := s.cpu[id]; ok {
		return c
	}
	return 1000
}

// started notes the begin of a run, and that no other run of the task is in progress. w.mu is held.
func (s *system) started(w *worker, r *workerRun) {
	s.logf("%v begins %s run %d", w, r.task, r.run)
	s.mu.Lock()
	others := append([]activeRun(nil), s.running[r.task]...)
	s.running[r.task] = append(s.running[r.task], activeRun{w, r})
	s.mu.Unlock()
	for _, o := range others {
		if o.w == w {
			continue
		}
		// A run of another worker may be over although nobody has looked.
		if o.w.mu.TryLock() {
			o.w.advance(time.Now())
			o.w.mu.Unlock()
		}
	}
	s.mu.Lock()
	still := append([]activeRun(nil), s.running[r.task]...)
	s.mu.Unlock()
	for _, o := range still {
		if o.r != r {
			s.fail("TWICE", "%s run %d begins at %v while run %d goes on at %v", r.task, r.run, w, o.r.run, o.w)
		}
	}
	if s.onStart != nil {
		s.onStart(w, r)
	}
}

// ended notes the end of a run. w.mu is held.
func (s *system) ended(w *worker, r *workerRun, how string) {
	s.logf("%v ends %s run %d: %s", w, r.task, r.run, how)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.running[r.task]
	for i, o := range list {
		if o.r == r {
			s.running[r.task] = append(append([]activeRun(nil), list[:i]...), list[i+1:]...)
		}
	}
}

var given sync.Map

// freeAddress returns a free address below the ports that the kernel gives to connections, so
// that none of them takes it before its listener does.
func freeAddress() string {
	for range 10000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("no free port")
}

var sectionPattern = regexp.MustCompile(`\{\{#seeds\}\}"\{\{\.\}\}"\{\{,\}\}\{\{/seeds\}\}`)

// render fills in a template of the deploy file.
func render(path string, seeds []string, values map[string]string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	quoted := make([]string, len(seeds))
	for i, a := range seeds {
		quoted[i] = `"` + a + `"`
	}
	out := sectionPattern.ReplaceAllString(string(text), strings.Join(quoted, ","))
	for k, v := range values {
		out = strings.ReplaceAll(out, "{{"+k+"}}", v)
	}
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("%s has an unknown placeholder", path)
	}
	return out, nil
}

func (s *system) newProcess(role, name string, seeds []string, values map[string]string, args ...string) (*process, error) {
	values["node"], values["platform.address"] = name, s.store.address
	text, err := render("deploy/"+role+".tmpl", seeds, values)
	if err != nil {
		return nil, err
	}
	p := &process{s: s, name: name, settings: filepath.Join(s.dir, name+".toml")}
	p.args = append([]string{role, "--settings", p.settings, "--platform-contracts", contracts}, args...)
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// build makes the processes of a deployment and starts them. advertise, unless nil, gives the
// address at which others reach an entry.
func (s *system) build(entries, workers int, advertise func(i int, address string) string) error {
	var controls []string
	for range entries {
		controls = append(controls, freeAddress())
	}
	seeds := append([]string(nil), controls...)
	if advertise != nil {
		for i := range seeds {
			seeds[i] = advertise(i, controls[i])
		}
	}
	for i := range entries {
		name := fmt.Sprintf("front-%d", i+1)
		front, ready := freeAddress(), freeAddress()
		p, err := s.newProcess("entry", name, seeds[:min(3, len(seeds))], map[string]string{
			"zone": "z", "listen.control": controls[i], "listen.front": front, "listen.ready": ready, "limits.memoryMb": "284",
		}, "--max-descriptors", "4100")
		if err != nil {
			return err
		}
		p.control, p.front = controls[i], front
		if advertise != nil {
			p.args = append(p.args, "--advertise", seeds[i])
		}
		s.entries = append(s.entries, p)
	}
	for i := range workers {
		name := fmt.Sprintf("side-%d", i+1)
		control := freeAddress()
		p, err := s.newProcess("agent", name, seeds[:min(3, len(seeds))], map[string]string{"zone": "z", "listen.control": control, "service": s.service},
			"--memory", "152MiB", "--max-descriptors", "4096")
		if err != nil {
			return err
		}
		p.control = control
		s.agents = append(s.agents, p)
		s.workers = append(s.workers, &worker{
			s: s, name: fmt.Sprintf("worker-%d", i+1), id: fmt.Sprintf("i-%d", i+1), agentAddress: control, address: freeAddress(),
			labels: []string{"a"}, cpu: 8000, guards: true,
		})
	}
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, w := range s.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command("target/poplarlever", p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.s.dir, "POPLARLEVER_BOOT=" + p.settings}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() { _ = cmd.Wait(); close(done) }()
	p.s.logf("%s starts", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s.logf("%s gets %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// wait reports whether the process has ended within a time.
func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.mu.Lock()
		started := p.cmd != nil && p.cmd.Process != nil
		p.mu.Unlock()
		if started {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, w := range s.workers {
		w.crash()
	}
	_ = s.store.server.Close()
	_ = s.record.Sync()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are in", s.dir)
	}
}
