//go:build review

package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// balancer forwards connections to one entry, as the platform does for its clients, and
// can reset a share of them.
type balancer struct {
	address, target string

	mu    sync.Mutex
	conns map[*pair]bool
}

type pair struct{ client, target *net.TCPConn }

func startBalancer(target string) (*balancer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &balancer{address: l.Addr().String(), target: target, conns: make(map[*pair]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.forward(c.(*net.TCPConn))
		}
	}()
	return b, nil
}

func (b *balancer) forward(client *net.TCPConn) {
	t, err := net.Dial("tcp", b.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &pair{client, t.(*net.TCPConn)}
	b.mu.Lock()
	b.conns[p] = true
	b.mu.Unlock()
	ended := make(chan struct{}, 2)
	pump := func(to, from *net.TCPConn) {
		_, _ = io.Copy(to, from)
		_ = to.CloseWrite()
		ended <- struct{}{}
	}
	go pump(p.target, p.client)
	go pump(p.client, p.target)
	<-ended
	// A client that has closed its connection does not read an answer any more.
	_ = p.client.Close()
	_ = p.target.Close()
	<-ended
	b.mu.Lock()
	delete(b.conns, p)
	b.mu.Unlock()
}

// reset resets this share of the open connections, at both ends, and returns how many.
func (b *balancer) reset(share float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for p := range b.conns {
		if rand.Float64() < share {
			for _, c := range []*net.TCPConn{p.client, p.target} {
				_ = c.SetLinger(0)
				_ = c.Close()
			}
			n++
		}
	}
	return n
}
