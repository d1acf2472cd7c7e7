package processtest

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// Numbers of hostile clients, and the bounds that the processes have to keep.
const (
	// hostileEntryMemory is limits.memory of the entry, in bytes. What the process uses and
	// what the kernel holds unread for it stay below that.
	hostileEntryMemory = 64 << 20
	// hostileAgentMemory is the memory of the smallest VM of an agent, in bytes.
	hostileAgentMemory = 128 << 20
	// Each crowd sends more than twice the memory of its process.
	platformCrowd = 150
	nativeCrowd   = 60
	agentCrowd    = 70
	// Bodies of the largest legal size, in bytes.
	platformBody = 1 << 20
	nativeBody   = 4<<20 - 8<<10
	agentBody    = 4 << 20
	// streamConnections and streamsEach are the number of HTTP/2 connections and of requests on
	// each, streamBody what each sends of its body, in bytes.
	streamConnections, streamsEach = 40, 25
	streamBody                     = 256 << 10
	// overLimitBody is announced by clients that send too much, overLimitSent what they send
	// unless they are cut off, in bytes.
	overLimitBody = 256 << 20
	overLimitSent = 16 << 20
	// hostileDescriptors is the limit of the entry's descriptors, and connectionCrowd the number
	// of connections. 200 descriptors are set apart for files.
	hostileDescriptors = 600
	connectionCrowd    = 600
	// hostileTimeout bounds the time of one hostile client. No check depends on it.
	hostileTimeout = 20 * time.Second
	// unsentBytes is how far before the end of its body a client stops, and stopEvery the
	// share of clients that do not stop: one in stopEvery sends its body whole.
	unsentBytes = 3
	stopEvery   = 5
)

const hostileTable = `kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256,host,path_prefix
service,route-desk,,,,,,,,,,,
job,settlement,route-desk,,,,,1000,,,,h.example,/q/
account,atlas,,1,,,,,,,,,
account,callers,,1,,,,,,,,,
`

// hostileTarget is a process with its addresses.
type hostileTarget struct {
	*process
	front string
}

// startHostileEntry starts an entry with both interfaces for callers, and one worker.
func startHostileEntry(c *qt.C, limits string) hostileTarget {
	f := &fleet{recordFile: filepath.Join(c.TempDir(), "starts"), storeAddress: startStore(c, hostileTable)}
	addresses := freeAddresses(c, 2)
	text := fmt.Sprintf("name = \"entry-0\"\nlisten = %q\nauthentication = \"off\"\n[store]\naddress = %q\n[platform]\ncallers = %q\n[limits]\n%s",
		addresses[0], f.storeAddress, addresses[1], limits)
	entry := start(c, true, "entry", "--settings", writeSettingsFile(c, text))
	waitReady(c, entry.address)
	f.startWorker(c, "worker-0", entry.address)
	t := hostileTarget{entry, addresses[1]}
	t.waitPlatformAnswer(c)
	return t
}

func writeSettingsFile(c *qt.C, text string) string {
	file := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return file
}

var ordinaryJobs int

// waitPlatformAnswer waits until an ordinary job of the users' platform is complete. One that
// is refused is sent again, as callers do.
func (t hostileTarget) waitPlatformAnswer(c *qt.C) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(c, "a complete job on the platform's interface", func() bool {
		ordinaryJobs++
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", t.front, ordinaryJobs), strings.NewReader(`{"spec":"x","bestEffort":true,"steps":[{"count":1}]}`))
		c.Assert(err, qt.IsNil)
		req.Host = "h.example"
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		content, _ := io.ReadAll(resp.Body)
		return resp.StatusCode == http.StatusOK && strings.Contains(string(content), "completed")
	})
}

// waitNativeAnswer is like waitPlatformAnswer for the native interface.
func (t hostileTarget) waitNativeAnswer(c *qt.C) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(c, "a complete job on the native interface", func() bool {
		resp, err := client.Post("http://"+t.address+"/poplarlever.v1.Dispatch/Submit", "application/json",
			strings.NewReader(`{"service":"route-desk","jobType":"settlement","account":"atlas","timeout":"10s","tasks":[{"payload":"YQ=="}]}`))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		content, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(content), "OUTCOME_COMPLETE")
	})
}

// usage is the largest use of a process that was seen.
type usage struct {
	mu                 sync.Mutex
	unread             int
	descriptors        int
	done, samplingDone chan struct{}
}

// watchUsage looks at the process until stop is called.
func (p *process) watchUsage(addresses ...string) *usage {
	u := &usage{done: make(chan struct{}), samplingDone: make(chan struct{})}
	go func() {
		defer close(u.samplingDone)
		for {
			u.mu.Lock()
			u.unread, u.descriptors = max(u.unread, unreadBytes(addresses)), max(u.descriptors, p.descriptors())
			u.mu.Unlock()
			select {
			case <-u.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return u
}

func (u *usage) stop() {
	close(u.done)
	<-u.samplingDone
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (p *process) peakMemory(c *qt.C) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	c.Assert(found, qt.IsTrue, qt.Commentf("the process has ended"))
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	c.Assert(err, qt.IsNil)
	return kilobytes << 10
}

// waitSettled waits until the process has dealt with what was sent to it: what it uses has
// stayed the same for a second.
func (p *process) waitSettled(c *qt.C, addresses ...string) {
	type state struct{ peak, unread, descriptors int }
	var last state
	var since time.Time
	waitFor(c, "a process at rest", func() bool {
		now := state{p.peakMemory(c), unreadBytes(addresses), p.descriptors()}
		if now != last {
			last, since = now, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// unreadBytes returns the number of bytes that the kernel holds for the sockets of the local
// addresses.
func unreadBytes(addresses []string) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ports := map[string]bool{}
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", n)] = true
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, unread, _ := strings.Cut(fields[4], ":")
		// 0A is the state of listening sockets, whose queue is a number of connections.
		if n, err := strconv.ParseInt(unread, 16, 64); err == nil && ports[port] && fields[3] != "0A" {
			sum += int(n)
		}
	}
	return sum
}

// shape is how a hostile client sends its body.
type shape struct {
	name string
	// chunk is the size of the chunks of a chunked body, 0 for one with a declared length.
	chunk int
	// slowly makes the client send the body in small parts with pauses.
	slowly bool
	// over makes the body larger than the limit.
	over bool
}

var hostileShapes = []shape{
	{name: "whole"},
	{name: "incremental", slowly: true},
	{name: "large chunks", chunk: 64 << 10},
	{name: "tiny chunks", chunk: 16},
	{name: "over the limit declared", over: true},
	{name: "over the limit undeclared", over: true, chunk: 64 << 10},
}

// hostileClient sends one request and keeps its connection open until the test ends.
type hostileClient struct {
	address, head string
	body          string
	stopShort     bool
	shape         shape
}

// run returns the connection once the client has sent what it sends, or was cut off.
func (h hostileClient) run() net.Conn {
	conn, err := net.DialTimeout("tcp", h.address, hostileTimeout)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(hostileTimeout))
	length := len(h.body)
	if h.shape.over {
		length = overLimitBody
	}
	framing := fmt.Sprintf("Content-Length: %d", length)
	if h.shape.chunk > 0 {
		framing = "Transfer-Encoding: chunked"
	}
	w := bufio.NewWriterSize(conn, 64<<10)
	_, _ = fmt.Fprintf(w, "%s\r\n%s\r\n\r\n", h.head, framing)
	h.writeBody(w)
	_ = w.Flush()
	return conn
}

func (h hostileClient) writeBody(w *bufio.Writer) {
	if h.shape.over {
		filler := strings.Repeat(" ", 64<<10)
		for sent := 0; sent < overLimitSent; sent += len(filler) {
			if h.write(w, filler) != nil {
				return
			}
		}
		return
	}
	body := h.body
	if h.stopShort {
		body = body[:len(body)-unsentBytes]
	}
	part := 64 << 10
	if h.shape.slowly {
		part = 16 << 10
	}
	for len(body) > 0 {
		n := min(part, len(body))
		if h.write(w, body[:n]) != nil {
			return
		}
		body = body[n:]
		if h.shape.slowly {
			_ = w.Flush()
			time.Sleep(2 * time.Millisecond)
		}
	}
	if h.shape.chunk > 0 && !h.stopShort {
		_, _ = w.WriteString("0\r\n\r\n")
	}
}

// write writes a part of the body in chunks of the shape.
func (h hostileClient) write(w *bufio.Writer, part string) error {
	if h.shape.chunk == 0 {
		_, err := w.WriteString(part)
		return err
	}
	for len(part) > 0 {
		n := min(h.shape.chunk, len(part))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, part[:n]); err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

// attack runs the clients together. Their connections stay open until the test ends.
func attack(c *qt.C, clients []hostileClient) {
	var group sync.WaitGroup
	conns := make([]net.Conn, len(clients))
	for i, client := range clients {
		group.Go(func() { conns[i] = client.run() })
	}
	group.Wait()
	c.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
}

// checkUsage compares the use of the process with its memory.
func (p *process) checkUsage(c *qt.C, u *usage, memory int) {
	peak := p.peakMemory(c)
	c.Logf("peak memory %d KiB, unread %d KiB, descriptors %d", peak>>10, u.unread>>10, u.descriptors)
	c.Check(peak+u.unread < memory, qt.IsTrue, qt.Commentf("%d KiB of memory and %d KiB unread", peak>>10, u.unread>>10))
}

const hostileEntryLimits = `memory = "64MiB"
`

// platformBodyText is a job of the largest legal size.
func platformBodyText() string {
	head, tail := `{"spec":"x","bestEffort":true,"pad":"`, `","steps":[{"count":1}]}`
	return head + strings.Repeat("x", platformBody-len(head)-len(tail)) + tail
}

// nativeBodyText is a job close to the largest legal size.
func nativeBodyText() string {
	const tasks = 15
	task := `{"payload":"` + base64.StdEncoding.EncodeToString(make([]byte, (nativeBody/tasks-100)/4*3)) + `"}`
	return `{"service":"route-desk","jobType":"settlement","account":"atlas","timeout":"10s","tasks":[` +
		strings.TrimSuffix(strings.Repeat(task+",", tasks), ",") + `]}`
}

func platformHead(i int) string {
	return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 10000", 0xabc<<32+i)
}

const nativeHead = "POST /poplarlever.v1.Dispatch/Submit HTTP/1.1\r\nHost: x\r\nContent-Type: application/json"

func crowd(size int, address, body string, s shape, head func(int) string) []hostileClient {
	clients := make([]hostileClient, size)
	for i := range clients {
		clients[i] = hostileClient{address: address, head: head(i), body: body, stopShort: i%stopEvery != 0, shape: s}
	}
	return clients
}

// Guards against a process that runs out of memory, or serves nobody else, because callers
// of the users' platform send many large bodies, most of which do not end.
func TestHostileBodiesOnPlatformInterface(t *testing.T) {
	body := platformBodyText()
	for _, s := range hostileShapes {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			entry := startHostileEntry(c, hostileEntryLimits)
			u := entry.watchUsage(entry.address, entry.front)
			attack(c, crowd(platformCrowd, entry.front, body, s, platformHead))
			entry.waitPlatformAnswer(c)
			entry.waitNativeAnswer(c)
			entry.waitSettled(c, entry.address, entry.front)
			u.stop()
			entry.checkUsage(c, u, hostileEntryMemory)
		})
	}
}

// Guards against the same on the native interface.
func TestHostileBodiesOnNativeInterface(t *testing.T) {
	body := nativeBodyText()
	for _, s := range hostileShapes {
		t.Run(s.name, func(t *testing.T) {
			c := qt.New(t)
			entry := startHostileEntry(c, hostileEntryLimits)
			u := entry.watchUsage(entry.address, entry.front)
			attack(c, crowd(nativeCrowd, entry.address, body, s, func(int) string { return nativeHead }))
			entry.waitPlatformAnswer(c)
			entry.waitNativeAnswer(c)
			entry.waitSettled(c, entry.address, entry.front)
			u.stop()
			entry.checkUsage(c, u, hostileEntryMemory)
		})
	}
}

// Guards against whole bodies of legal size whose decoded form is many times larger.
func TestHostileBodiesThatExpand(t *testing.T) {
	steps := `{"spec":"x","bestEffort":true,"steps":[`
	steps += strings.Repeat("{},", (platformBody-len(steps)-4)/3) + `{}]}`
	tasks := `{"service":"route-desk","jobType":"settlement","account":"atlas","tasks":[`
	tasks += strings.Repeat("{},", (nativeBody-len(tasks)-4)/3) + `{}]}`
	for _, test := range []struct {
		name   string
		attack func(*qt.C, hostileTarget)
	}{
		{"steps", func(c *qt.C, e hostileTarget) {
			attack(c, crowd(platformCrowd, e.front, steps, shape{}, platformHead))
		}},
		{"tasks", func(c *qt.C, e hostileTarget) {
			attack(c, crowd(nativeCrowd, e.address, tasks, shape{}, func(int) string { return nativeHead }))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			entry := startHostileEntry(c, hostileEntryLimits)
			u := entry.watchUsage(entry.address, entry.front)
			test.attack(c, entry)
			entry.waitPlatformAnswer(c)
			entry.waitNativeAnswer(c)
			entry.waitSettled(c, entry.address, entry.front)
			u.stop()
			entry.checkUsage(c, u, hostileEntryMemory)
		})
	}
}

// Guards against an agent that runs out of memory because of many large announcements.
func TestHostileAnnouncements(t *testing.T) {
	labels := func(label string) string {
		head, tail := `{"service":"s","address":"127.0.0.1:1","slots":1,"state":"ready","capacity":{"cpu":1000,"memMb":1000},"seq":1,"born":1,"labels":[`, `""]}`
		return head + strings.Repeat(label+",", (agentBody-len(head)-len(tail))/(len(label)+1)) + tail
	}
	for name, body := range map[string]string{"large labels": labels(`"` + strings.Repeat("x", 1000) + `"`), "empty labels": labels(`""`)} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text := "worker = \"worker-0\"\nlisten = \"127.0.0.1:0\"\nentries = [\"127.0.0.1:1\"]\n[platform]\nservice = \"s\"\n" + hostileAgentLimits
			agent := start(c, true, "agent", "--settings", writeSettingsFile(c, text))
			u := agent.watchUsage(agent.address)
			attack(c, crowd(agentCrowd, agent.address, body, shape{}, func(int) string {
				return "POST /Instances.Heartbeat/worker-0 HTTP/1.1\r\nHost: x"
			}))
			waitFor(c, "an ordinary announcement", func() bool {
				resp, err := http.Post("http://"+agent.address+"/Instances.Heartbeat/worker-0", "application/json",
					strings.NewReader(`{"service":"s","address":"127.0.0.1:1","slots":1,"state":"ready","capacity":{"cpu":1000,"memMb":1000},"seq":1,"born":1}`))
				if err != nil {
					return false
				}
				_ = resp.Body.Close()
				return resp.StatusCode == http.StatusOK
			})
			agent.waitSettled(c, agent.address)
			u.stop()
			agent.checkUsage(c, u, hostileAgentMemory)
		})
	}
}

// Guards against a process that runs out of memory because of many requests on each of many
// HTTP/2 connections, whose bodies do not end.
func TestHostileStreams(t *testing.T) {
	for _, path := range []string{"/q/", "/poplarlever.v1.Dispatch/Submit?"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			entry := startHostileEntry(c, hostileEntryLimits)
			address := entry.address
			if path == "/q/" {
				address = entry.front
			}
			u := entry.watchUsage(entry.address, entry.front)
			ctx, cancel := context.WithCancel(context.Background())
			var group, sent sync.WaitGroup
			c.Cleanup(func() { cancel(); group.Wait() })
			for i := range streamConnections {
				client := httpserver.NewClient()
				for k := range streamsEach {
					sent.Add(1)
					body := &endlessBody{left: streamBody, sent: sync.OnceFunc(sent.Done), end: ctx.Done()}
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%016x", address, path, 0xabc<<32+i*streamsEach+k), body)
					c.Assert(err, qt.IsNil)
					req.Host = "h.example"
					req.Header.Set("Content-Type", "application/json")
					group.Go(func() {
						defer body.sent()
						resp, err := client.Do(req)
						if err != nil {
							return
						}
						_ = resp.Body.Close()
					})
				}
			}
			waitSent := make(chan struct{})
			go func() { sent.Wait(); close(waitSent) }()
			select {
			case <-waitSent:
			case <-time.After(hostileTimeout):
			}
			entry.waitPlatformAnswer(c)
			entry.waitNativeAnswer(c)
			u.stop()
			entry.checkUsage(c, u, hostileEntryMemory)
		})
	}
}

// endlessBody is a body that is sent up to a point and then stands still.
type endlessBody struct {
	left int
	sent func()
	end  <-chan struct{}
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.sent()
		<-b.end
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	for i := range p[:n] {
		p[i] = ' '
	}
	b.left -= n
	return n, nil
}

// hostileAgentLimits are the limits in the agent's settings.
const hostileAgentLimits = `[limits]
memory = "128MiB"
`

// Guards against a process whose connections use up its descriptors, so that it accepts no
// others and cannot open files.
func TestHostileConnections(t *testing.T) {
	for _, onFront := range []bool{true, false} {
		t.Run(fmt.Sprintf("front %v", onFront), func(t *testing.T) {
			c := qt.New(t)
			entry := startHostileEntry(c, hostileConnectionLimits)
			address, head := entry.address, func(int) string { return nativeHead }
			if onFront {
				address, head = entry.front, platformHead
			}
			u := entry.watchUsage(entry.address, entry.front)
			attack(c, crowd(connectionCrowd, address, "{   ", shape{}, head))
			entry.waitPlatformAnswer(c)
			entry.waitNativeAnswer(c)
			u.stop()
			entry.checkUsage(c, u, hostileEntryMemory)
			c.Check(u.descriptors <= hostileDescriptors-200, qt.IsTrue, qt.Commentf("%d descriptors", u.descriptors))
		})
	}
}

// hostileConnectionLimits are the limits in the entry's settings.
const hostileConnectionLimits = hostileEntryLimits + "max_descriptors = 600\n"
