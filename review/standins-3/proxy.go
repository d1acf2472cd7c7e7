//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// roundTrip is that between a client and a machine.
const roundTrip = 2 * time.Millisecond

// proxy forwards connections to a machine. While the machine is suspended it keeps what clients
// send, as their network stacks do: what was sent first arrives first, and the end of a
// connection a round trip after the data before it was acknowledged.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	// held is closed when what is sent is forwarded again; nil while it is forwarded.
	held chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = make(chan struct{})
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
}

// wait waits while what is sent is kept, and reports whether it was.
func (p *proxy) wait() bool {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held == nil {
		return false
	}
	<-held
	return true
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	}()
	type part struct {
		data []byte
		end  bool
	}
	parts := make(chan part, 64)
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := client.Read(b)
			if n > 0 {
				parts <- part{data: b[:n]}
			}
			if err != nil {
				parts <- part{end: true}
				return
			}
		}
	}()
	for x := range parts {
		kept := p.wait()
		if x.end {
			if kept || len(x.data) == 0 {
				time.Sleep(roundTrip)
			}
			return
		}
		if _, err := server.Write(x.data); err != nil {
			return
		}
	}
}
