//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// cutProxy stands before the control address of an entry. It can refuse the connections of the
// other entries; those of agents, which name a worker first, stay.
type cutProxy struct {
	s        *system
	target   string
	address  string
	mu       sync.Mutex
	listener net.Listener
	conns    map[*cutConn]bool
}

type cutConn struct {
	client, server net.Conn
	agent          bool
}

func newCutProxy(s *system, target string) *cutProxy {
	return &cutProxy{s: s, target: target, address: freeAddress(), conns: make(map[*cutConn]bool)}
}

// open accepts connections.
func (p *cutProxy) open() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

// refuse resets the connections of other entries and refuses new ones.
func (p *cutProxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		if c.agent {
			continue
		}
		if t, ok := c.client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

func (p *cutProxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &cutConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = client.Close()
		_ = server.Close()
	}()
	go func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := client.Read(b)
		if bytes.Contains(b[:n], []byte("side-")) && !bytes.Contains(b[:n], []byte("front-")) {
			p.mu.Lock()
			c.agent = true
			p.mu.Unlock()
		}
		if n > 0 {
			if _, err := server.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
