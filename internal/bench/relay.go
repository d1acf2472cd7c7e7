package bench

import (
	"net"
	"sync"
	"time"
)

const (
	// domainDelay is the one-way network latency between failure domains.
	domainDelay = 500 * time.Microsecond
	// callerDelay is the one-way network latency between callers and entries.
	callerDelay = time.Millisecond
	// relayBacklog bounds the chunks in flight in one direction.
	relayBacklog = 4096
	relayBuffer  = 32 << 10
)

// relay forwards TCP connections to a target and delays each direction. It
// simulates the network path between two machines.
type relay struct {
	listener net.Listener
	target   string
	delay    time.Duration
	clock    *preciseClock
	// stallLock is write-locked while the path is stalled.
	stallLock sync.RWMutex

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newRelay(target string, delay time.Duration, clock *preciseClock) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, delay: delay, clock: clock, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(client)
	}
}

func (r *relay) connect(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	if !r.track(client, server) {
		return
	}
	go r.forward(client, server)
	go r.forward(server, client)
}

func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
			continue
		}
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one direction. Both connections are closed when it ends.
func (r *relay) forward(from, to net.Conn) {
	chunks := make(chan chunk, relayBacklog)
	go r.deliver(chunks, from, to)
	defer close(chunks)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{due: time.Now().Add(r.delay), data: append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) deliver(chunks <-chan chunk, from, to net.Conn) {
	failed := false
	for c := range chunks {
		r.clock.sleepUntil(c.due)
		r.stallLock.RLock()
		if !failed {
			_, err := to.Write(c.data)
			failed = err != nil
		}
		r.stallLock.RUnlock()
		if failed {
			_ = from.Close()
		}
	}
	r.mu.Lock()
	delete(r.conns, from)
	delete(r.conns, to)
	r.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// reset closes the open connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(r.conns)
}

// close resets the open connections and accepts no new ones.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.reset()
}

// stall holds back all data until resume is called.
func (r *relay) stall() { r.stallLock.Lock() }

func (r *relay) resume() { r.stallLock.Unlock() }
