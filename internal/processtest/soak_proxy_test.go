package processtest

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// direction is the way of bytes through a proxy.
type direction int

const (
	toTarget direction = iota
	fromTarget
	directions
)

// disturbance is what a proxy does to the connections of one peer.
type disturbance struct {
	delay time.Duration
	// delayedUntil is the end of delay; heldUntil are the ends of cuts. Bytes and closes
	// that a cut holds up arrive after its end, in order.
	delayedUntil time.Time
	heldUntil    [directions]time.Time
}

// proxy forwards TCP connections to a target and disturbs them.
type proxy struct {
	address, target string
	// peers are names that connections are told apart by: a connection belongs to the peer
	// whose name its first bytes contain.
	peers    [][]byte
	listener net.Listener
	mu       sync.Mutex
	conns    map[*proxiedConn]bool
	faults   map[string]*disturbance
}

type proxiedConn struct {
	p              *proxy
	client, target net.Conn
	// peer is empty until the connection is known to belong to one.
	peer string
	// passedAt is when the newest bytes went on to the target.
	passedAt time.Time
	// silent makes the proxy swallow all bytes and closes.
	silent, closed bool
}

func startProxy(s *soak, target string, peers ...string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	p := &proxy{address: l.Addr().String(), target: target, listener: l, conns: make(map[*proxiedConn]bool), faults: make(map[string]*disturbance)}
	for _, name := range peers {
		p.peers = append(p.peers, []byte(name))
	}
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			target, err := net.Dial("tcp", p.target)
			if err != nil {
				reset(client)
				return
			}
			conn := &proxiedConn{p: p, client: client, target: target}
			p.mu.Lock()
			p.conns[conn] = true
			p.mu.Unlock()
			go conn.pump(toTarget, client, target)
			conn.pump(fromTarget, target, client)
		}()
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// disturb changes what happens to the connections of a peer.
func (p *proxy) disturb(peer string, change func(*disturbance)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults[peer] == nil {
		p.faults[peer] = &disturbance{}
	}
	change(p.faults[peer])
}

// hold cuts one direction of a peer's connections for a time.
func (p *proxy) hold(peer string, d direction, long time.Duration) {
	p.disturb(peer, func(f *disturbance) { f.heldUntil[d] = time.Now().Add(long) })
}

func (p *proxy) slow(peer string, delay, long time.Duration) {
	p.disturb(peer, func(f *disturbance) { f.delay, f.delayedUntil = delay, time.Now().Add(long) })
}

// resetAll resets both ends of all connections of a peer.
func (p *proxy) resetAll(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if conn.peer == peer {
			conn.closeLocked(reset)
		}
	}
}

// peerCount returns the number of peers that have a connection.
func (p *proxy) peerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make(map[string]bool)
	for conn := range p.conns {
		if conn.peer != "" {
			names[conn.peer] = true
		}
	}
	return len(names)
}

// silence swallows from now on what is sent on the connection of a client address.
func (p *proxy) silence(client net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.find(client); conn != nil {
		conn.silent = true
	}
}

// passedAt returns when the newest bytes from a client address went on to the target.
func (p *proxy) passedAt(client net.Addr) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.find(client); conn != nil {
		return conn.passedAt
	}
	return time.Time{}
}

func (p *proxy) find(client net.Addr) *proxiedConn {
	for conn := range p.conns {
		if conn.client.RemoteAddr().String() == client.String() {
			return conn
		}
	}
	return nil
}

// disturbedUntil returns the end of the longest disturbance of a peer so far.
func (p *proxy) disturbedUntil(peer string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[peer]
	if f == nil {
		return time.Time{}
	}
	return latest(f.delayedUntil, f.heldUntil[toTarget], f.heldUntil[fromTarget])
}

func latest(times ...time.Time) time.Time {
	var newest time.Time
	for _, t := range times {
		if t.After(newest) {
			newest = t
		}
	}
	return newest
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.closeLocked(reset)
	}
}

func (conn *proxiedConn) closeLocked(closeConn func(net.Conn)) {
	conn.closed = true
	delete(conn.p.conns, conn)
	closeConn(conn.client)
	closeConn(conn.target)
}

// pump forwards one direction until it ends, and then closes the connection.
func (conn *proxiedConn) pump(d direction, from, to net.Conn) {
	p := conn.p
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if d == toTarget {
			conn.identify(buffer[:n])
		}
		forward, closed := conn.pass(d)
		if closed {
			return
		}
		if forward && n > 0 {
			_, _ = to.Write(buffer[:n])
			conn.passed(d)
		}
		if err != nil {
			if forward {
				p.mu.Lock()
				conn.closeLocked(func(c net.Conn) { _ = c.Close() })
				p.mu.Unlock()
			}
			return
		}
	}
}

func (conn *proxiedConn) passed(d direction) {
	conn.p.mu.Lock()
	defer conn.p.mu.Unlock()
	if d == toTarget {
		conn.passedAt = time.Now()
	}
}

func (conn *proxiedConn) identify(content []byte) {
	conn.p.mu.Lock()
	defer conn.p.mu.Unlock()
	if conn.peer != "" {
		return
	}
	for _, name := range conn.p.peers {
		if bytes.Contains(content, name) {
			conn.peer = string(name)
			return
		}
	}
}

// pass waits until bytes that have arrived may go on. It reports whether they are
// forwarded and whether the connection is closed.
func (conn *proxiedConn) pass(d direction) (forward, closed bool) {
	p := conn.p
	arrived := time.Now()
	for {
		p.mu.Lock()
		now, until := time.Now(), time.Time{}
		if f := p.faults[conn.peer]; f != nil {
			until = f.heldUntil[d]
			if now.Before(f.delayedUntil) {
				until = latest(until, arrived.Add(f.delay))
			}
		}
		silent, closed := conn.silent, conn.closed
		p.mu.Unlock()
		if silent || closed || !now.Before(until) {
			return !silent && !closed, closed
		}
		time.Sleep(min(until.Sub(now), 5*time.Millisecond))
	}
}

// watchProxies sends bytes through a proxy until the run of the test ends, and notices when one
// takes longer than maxHeldUp to come back: answers of the programs are then late too. With the
// processors busy, bytes took seconds while logEnds, which waits for no byte, was not held up.
func (s *soak) watchProxies() {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	defer echo.Close()
	go func() {
		if conn, err := echo.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	p := startProxy(s, echo.Addr().String())
	defer p.close()
	conn, err := net.Dial("tcp", p.address)
	s.must(err)
	defer conn.Close()
	for b := []byte{0}; !s.over(); s.sleep(20 * time.Millisecond) {
		sent := time.Now()
		s.locked(func() { s.byteSentAt = sent })
		if _, err := conn.Write(b); err != nil {
			return
		}
		if _, err := conn.Read(b); err != nil {
			return
		}
		took := time.Since(sent)
		s.locked(func() {
			s.byteSentAt = time.Time{}
			if took > maxHeldUp {
				s.counts["late bytes"]++
				s.heldUpUntil = time.Now()
				s.logf("a byte took %s through a proxy", took)
			}
		})
	}
}
