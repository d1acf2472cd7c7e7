//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// proxy forwards connections to an address, and can let those of one process, or all, fall
// silent as behind a partition.
type proxy struct {
	address, target string
	port            int

	mu     sync.Mutex
	links  map[*proxyLink]bool
	cutAll bool
	// cutOwner is the process whose connections are cut, or nil.
	cutOwner *process
}

type proxyLink struct {
	client, server net.Conn
	port           int
	silent         chan struct{}
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stopRun("a proxy cannot listen: %v", err)
	}
	p := &proxy{address: l.Addr().String(), port: l.Addr().(*net.TCPAddr).Port, target: target, links: make(map[*proxyLink]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// cut makes connections silent: all of them, or those that the process opened.
func (p *proxy) cut(owner *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAll, p.cutOwner = owner == nil, owner
	for l := range p.links {
		if p.cuts(l) {
			close(l.silent)
			delete(p.links, l)
		}
	}
}

// heal lets new connections pass. Those that have fallen silent are closed.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAll, p.cutOwner = false, nil
}

func (p *proxy) cuts(l *proxyLink) bool {
	return p.cutAll || p.cutOwner != nil && ownsPort(p.cutOwner, l.port, p.port)
}

func (p *proxy) serve(c net.Conn) {
	l := &proxyLink{client: c, port: c.RemoteAddr().(*net.TCPAddr).Port, silent: make(chan struct{})}
	p.mu.Lock()
	if p.cuts(l) {
		p.mu.Unlock()
		time.Sleep(30 * time.Second)
		_ = c.Close()
		return
	}
	p.links[l] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		// The connection is refused there.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	l.server = server
	done := make(chan struct{}, 2)
	go l.forward(l.client, l.server, done)
	go l.forward(l.server, l.client, done)
	<-done
	select {
	case <-l.silent:
		time.Sleep(30 * time.Second)
	default:
	}
	_ = l.client.Close()
	_ = l.server.Close()
}

func (l *proxyLink) forward(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// ownsPort reports whether the process has a connection from the port to that of a proxy.
func ownsPort(p *process, port, proxyPort int) bool {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		stopRun("%v", err)
	}
	defer f.Close()
	// A port may stand in several rows: a closed connection to another address has no inode.
	inode, own, peer := "", fmt.Sprintf(":%04X", port), fmt.Sprintf(":%04X", proxyPort)
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], own) && strings.HasSuffix(fields[2], peer) && fields[9] != "0" {
			inode = fields[9]
		}
	}
	if inode == "" {
		return false
	}
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	for _, link := range links {
		if target, _ := os.Readlink(link); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
