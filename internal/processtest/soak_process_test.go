package processtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// gracePeriod is how long after SIGTERM a process is killed.
	gracePeriod = 7 * time.Second
	// reloadAfter is how long after its start a process gets a SIGHUP: before it handles
	// signals, one ends it.
	reloadAfter = time.Second
	// firstKeptPort and keptPorts are a range below that of outgoing connections.
	firstKeptPort = 18_000
	keptPorts     = 14_000
)

// soakProcess is an entry or an agent that is started again whenever a signal has ended
// it.
type soakProcess struct {
	s       *soak
	name    string
	zone    string
	args    []string
	address string
	// front and ready are the addresses of an entry for callers and for the balancer.
	front, ready string
	// links is the proxy between agents and an entry, callers that between callers and
	// an entry. links changes with soak.mu held when an entry moves.
	links, callers *proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	launched time.Time
	exited   chan struct{}
	// asked is set once a signal that ends the process has been sent.
	asked bool
	// awayUntil is when the process may start again.
	awayUntil time.Time
	// frozenFrom and frozenUntil bound the latest SIGSTOP.
	frozenFrom, frozenUntil time.Time
}

// launch starts the process. When it ends, it is started again.
func (p *soakProcess) launch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for time.Now().Before(p.awayUntil) && !p.s.over() {
		p.mu.Unlock()
		p.s.sleep(10 * time.Millisecond)
		p.mu.Lock()
	}
	if p.s.over() {
		return
	}
	log, err := os.OpenFile(filepath.Join(p.s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.s.failf("%s cannot be started: %v", p.name, err)
		return
	}
	cmd := exec.Command(binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// After a panic or a timeout of the test no cleanup runs, and 160 agents that are left dial
	// entries without pause.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = log.Close()
	if err != nil {
		p.s.failf("%s cannot be started: %v", p.name, err)
		return
	}
	p.cmd, p.launched, p.asked, p.exited = cmd, time.Now(), false, make(chan struct{})
	p.s.logf("%s runs as process %d", p.name, cmd.Process.Pid)
	go p.watch(cmd, p.exited)
}

func (p *soakProcess) watch(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	p.s.logf("%s ends: %s", p.name, cmd.ProcessState)
	p.mu.Lock()
	asked := p.asked
	p.mu.Unlock()
	close(exited)
	if p.s.over() {
		return
	}
	if !asked {
		p.s.failf("%s has ended by itself: %s", p.name, cmd.ProcessState)
		p.s.sleep(time.Second)
	}
	p.launch()
}

// remove kills the process and starts it again after a time.
func (p *soakProcess) remove(long time.Duration) {
	p.mu.Lock()
	p.awayUntil = time.Now().Add(long)
	p.mu.Unlock()
	p.s.logf("%s is away for %s", p.name, long)
	p.signal(syscall.SIGKILL)
}

// isAway reports whether the process has been removed for a time.
func (p *soakProcess) isAway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.awayUntil)
}

// signal sends a signal. After SIGTERM the process has gracePeriod to end.
func (p *soakProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGHUP && time.Since(p.launched) < reloadAfter {
		return
	}
	p.s.logf("%s gets %s", p.name, sig)
	p.asked = p.asked || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	cmd := p.cmd
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGTERM {
		time.AfterFunc(gracePeriod, func() { _ = cmd.Process.Kill() })
	}
}

// freeze stops the process for a time, unless it is stopped.
func (p *soakProcess) freeze(long time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	if time.Now().Before(p.frozenUntil) {
		p.mu.Unlock()
		return
	}
	p.frozenFrom, p.frozenUntil = time.Now(), time.Now().Add(long)
	p.mu.Unlock()
	p.s.logf("%s is frozen for %s", p.name, long)
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(long, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
}

// readSlack is how long a process may take to read a request that has reached it.
const readSlack = 50 * time.Millisecond

// disturbedUntil returns the end of the latest disturbance of the entry or of its
// connections to callers.
func (p *soakProcess) disturbedUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return latest(p.frozenUntil, p.callers.disturbedUntil(""))
}

// readAt returns when the entry can have read a request that was sent at a time: a frozen
// process reads it when it goes on, and does not know how long it has waited.
func (p *soakProcess) readAt(sent time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := sent
	if p.frozenFrom.Before(sent.Add(readSlack)) {
		at = latest(at, p.frozenUntil)
	}
	return at
}

// end kills the process at the end of the run.
func (p *soakProcess) end() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

var seedList = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)

// writeSettings renders the settings that the users' platform gives a process, with the
// stand-in store.
func (s *soak) writeSettings(template, name, before string, seeds []string, values map[string]string) string {
	content, err := os.ReadFile(filepath.Join("../../deploy", template))
	s.must(err)
	text := strings.Replace(string(content), `protocol = "platform"`, `protocol = "native"`, 1)
	if s.size.evacuations {
		text = "evacuations = true\n" + text
	}
	text = seedList.ReplaceAllLiteralString(text, `"`+strings.Join(seeds, `", "`)+`"`)
	for key, value := range values {
		text = strings.ReplaceAll(text, "{{"+key+"}}", value)
	}
	file := filepath.Join(s.dir, name+".toml")
	s.must(os.WriteFile(file, []byte(before+text), 0o600))
	return file
}

// keptPort is the port that keptAddress tries next.
var keptPort = firstKeptPort + rand.IntN(keptPorts)

// keptAddress returns a loopback address with a port that the system gives to no outgoing
// connection while a restarted process does not listen on it, and that it returns only once.
func (s *soak) keptAddress() string {
	for {
		keptPort = firstKeptPort + (keptPort+1-firstKeptPort)%keptPorts
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", keptPort))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

func (s *soak) startEntries() {
	for i := range s.size.entries {
		p := &soakProcess{s: s, name: fmt.Sprint("entry-", i), zone: s.zone(i), address: s.keptAddress(), front: s.keptAddress(), ready: s.keptAddress()}
		p.links, p.callers = startProxy(s, p.address, s.workerNames()...), startProxy(s, p.front)
		s.entries = append(s.entries, p)
	}
	for _, p := range s.entries {
		p.args = []string{"entry", "--settings", s.writeEntrySettings(p)}
		p.launch()
	}
	for _, p := range s.entries {
		waitReady(s.c, p.address)
	}
}

func (s *soak) writeEntrySettings(p *soakProcess) string {
	return s.writeSettings("entry.tmpl", p.name, `advertise = "`+p.links.address+"\"\n", s.entryAddresses(), map[string]string{
		"node": p.name, "zone": p.zone, "listen.control": p.address, "platform.address": s.store,
		"listen.front": p.front, "listen.ready": p.ready, "limits.memoryMb": "128",
	})
}

// zone returns the failure domain of the entry or worker i.
func (s *soak) zone(i int) string { return fmt.Sprint("zone-", i%s.size.domains) }

func (s *soak) startAgents() {
	for i, worker := range s.workerNames() {
		p := &soakProcess{s: s, name: fmt.Sprint("agent-", i), zone: s.zone(i), address: s.keptAddress()}
		p.args = []string{"agent", "--settings", s.writeSettings("agent.tmpl", p.name, "", s.entryAddresses(), map[string]string{
			"node": worker, "zone": p.zone, "listen.control": p.address, "platform.address": s.store, "service": soakService,
		})}
		s.agents = append(s.agents, p)
		p.launch()
	}
}

// entryAddresses returns the addresses at which agents and entries reach entries.
func (s *soak) entryAddresses() []string {
	var all []string
	for _, e := range s.entries {
		all = append(all, e.links.address)
	}
	return all
}

// busyVariable is set in the environment of a process that only uses processor time.
const busyVariable = "POPLARLEVER_TEST_BUSY"

// beBusy uses one processor until standard input ends, which it does when the test's process
// ends in any way.
func beBusy() {
	var ended atomic.Bool
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		ended.Store(true)
	}()
	for !ended.Load() {
	}
	os.Exit(0)
}

// keepBusy starts processes that compete with the test for processor time until it ends.
func (s *soak) keepBusy(t *testing.T, processes int) {
	for range processes {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), busyVariable+"=1", "GOMAXPROCS=2")
		input, err := cmd.StdinPipe()
		s.must(err)
		s.must(cmd.Start())
		t.Cleanup(func() {
			_ = input.Close()
			_ = cmd.Wait()
		})
	}
}
