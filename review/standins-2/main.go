//go:build review2

// Command review-2 runs the script cases of the second review. It starts the project's own
// programs with the commands of the deploy file and stands in for the platform's store, the
// workers and the clients.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	began     = time.Now()
	recordMu  sync.Mutex
	recordOut io.Writer = io.Discard
	temporary string
	processes []*process
	// trouble is false for a run without the disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

// record writes a line to the record of the run.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordOut, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends the processes that the case started and this one.
func finish(code int) {
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temporary)
	} else {
		fmt.Println("kept:", temporary)
	}
	os.Exit(code)
}

// stopRun ends a case that could not run.
func stopRun(format string, args ...any) {
	record("NOT RUN: "+format, args...)
	fmt.Printf("not run: "+format+"\n", args...)
	finish(exitNotRun)
}

// verdict reports whether the rule was broken and ends the case.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		record("BROKEN: %s", text)
		fmt.Println("broken:", text)
		finish(exitBroken)
	}
	record("HELD: %s", text)
	fmt.Println("held:", text)
	finish(exitHeld)
}

// process is one of the project's programs.
type process struct {
	name, settings, role string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

var templateSection = regexp.MustCompile(`(?s)\{\{#seeds\}\}.*?\{\{/seeds\}\}`)

// render fills in a template of the deploy file.
func render(path string, values map[string]string, seeds []string) []byte {
	text, err := os.ReadFile(path)
	if err != nil {
		stopRun("%v", err)
	}
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = `"` + s + `"`
	}
	out := templateSection.ReplaceAllString(string(text), strings.Join(quoted, ", "))
	for name, value := range values {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
	}
	if strings.Contains(out, "{{") {
		stopRun("the template %s has an unknown field", path)
	}
	return []byte(out)
}

// prepare writes the settings of a process.
func prepare(role, name string, values map[string]string, seeds []string) *process {
	p := &process{name: name, role: role, settings: filepath.Join(temporary, name+".toml")}
	if err := os.WriteFile(p.settings, render("deploy/"+role+".tmpl", values, seeds), 0o600); err != nil {
		stopRun("%v", err)
	}
	processes = append(processes, p)
	return p
}

// advertise sets the address at which other processes reach an entry.
func (p *process) advertise(address string) {
	text, err := os.ReadFile(p.settings)
	if err == nil {
		err = os.WriteFile(p.settings, append([]byte(fmt.Sprintf("advertise = %q\n", address)), text...), 0o600)
	}
	if err != nil {
		stopRun("%v", err)
	}
}

// start starts the process with the command of the deploy file.
func (p *process) start() {
	log, err := os.OpenFile(filepath.Join(temporary, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		stopRun("%v", err)
	}
	p.cmd = exec.Command("target/poplarlever", p.role, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		stopRun("start %s: %v", p.name, err)
	}
	ended := make(chan struct{})
	p.ended = ended
	record("%s starts", p.name)
	go func(c *exec.Cmd) {
		_ = c.Wait()
		record("%s has ended: %s", p.name, c.ProcessState)
		_ = log.Close()
		close(ended)
	}(p.cmd)
}

func (p *process) signal(s syscall.Signal) {
	record("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil || p.ended == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// usedPorts holds the ports that freeAddress has returned.
var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address whose port is free. The port lies below those that
// the system gives to outgoing connections, one of which could take it before it is used.
func freeAddress() string {
	for range 1000 {
		port := 15000 + rand.IntN(17000)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		return l.Addr().String()
	}
	stopRun("no free port")
	return ""
}

// system is a small deployment.
type system struct {
	store *store
	// storeLinks is between the store and all processes.
	storeLinks *proxy
	entries    []*entryNode
	agents     []*agentNode
}

type entryNode struct {
	*process
	zone, control, callers, ready string
	// links is between the entry's control address and all other processes.
	links *proxy
}

type agentNode struct {
	*process
	control string
	worker  *worker
}

const serviceName = "route-desk"

// newSystem starts a store with the configuration, entries, agents and workers, and waits
// until the entries are ready.
func newSystem(entries, agents int, configuration []byte) *system {
	s := &system{store: newStore()}
	s.storeLinks = newProxy(s.store.address)
	s.store.put("op/config", configuration)
	zones := []string{"casa-ain", "casa-sidi", "rabat-agdal"}
	var seeds []string
	for i := range entries {
		e := &entryNode{zone: zones[i%len(zones)], control: freeAddress(), callers: freeAddress(), ready: freeAddress()}
		e.links = newProxy(e.control)
		s.entries = append(s.entries, e)
		seeds = append(seeds, e.links.address)
	}
	seeds = seeds[:min(3, len(seeds))]
	for i, e := range s.entries {
		name := fmt.Sprintf("front-%d", i+1)
		e.process = prepare("entry", name, map[string]string{
			"node": name, "zone": e.zone, "listen.control": e.control, "listen.front": e.callers, "listen.ready": e.ready,
			"platform.address": s.storeLinks.address, "limits.memoryMb": "284",
		}, seeds)
		e.advertise(e.links.address)
		e.start()
	}
	for i := range agents {
		name := fmt.Sprintf("side-%d", i+1)
		a := &agentNode{control: freeAddress()}
		a.process = prepare("agent", name, map[string]string{
			"node": name, "zone": zones[i%len(zones)], "listen.control": a.control, "platform.address": s.storeLinks.address, "service": serviceName,
		}, seeds)
		a.start()
		a.worker = newWorker("i-"+name, a.control, serviceName, zones[i%len(zones)], "a", fmt.Sprintf("r1-%d", i/3))
		s.agents = append(s.agents, a)
	}
	for _, e := range s.entries {
		waitFor(10*time.Second, e.name+" is not ready", func() bool {
			resp, err := http.Get("http://" + e.ready + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	return s
}

// waitFor ends the case unless the condition comes true in time.
func waitFor(limit time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			stopRun("%s", what)
		}
	}
}

// call sends a client's request over a connection of its own. The status is 0 without an
// answer.
func call(method, entry, host, path string, deadline time.Duration, body []byte) (status int, answer string) {
	return callWith(&http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}, method, entry, host, path, deadline, body)
}

func callWith(client *http.Client, method, entry, host, path string, deadline time.Duration, body []byte) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		stopRun("%v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	record("client: %s %s%s to %s", method, host, path, entry)
	resp, err := client.Do(req)
	if err != nil {
		record("client: %s %s: no answer (%v)", method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		record("client: %s %s: the answer broke off (%v)", method, path, err)
		return 0, ""
	}
	record("client: %s %s: answer %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(content)))
	return resp.StatusCode, string(content)
}

// cases are the cases by name.
var cases = map[string]func(){}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	recordOut = out
	if temporary, err = os.MkdirTemp("", "review-2-"); err != nil {
		stopRun("%v", err)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() { stopRun("stopped by %v", <-stopped) }()
	time.AfterFunc(110*time.Second, func() { stopRun("the case takes too long") })
	cases[os.Args[1]]()
	stopRun("the case has no verdict")
}
