package bench

import (
	"io"
	"net"
	"sync/atomic"
)

// byteMeter forwards TCP connections without delay and counts the bytes in both
// directions, including HTTP/2 framing and excluding TCP and IP headers.
type byteMeter struct {
	listener net.Listener
	target   string
	// in counts the bytes to the target, out those from it.
	in, out atomic.Int64
}

func newByteMeter(target string) (*byteMeter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &byteMeter{listener: l, target: target}
	go m.accept()
	return m, nil
}

func (m *byteMeter) address() string { return m.listener.Addr().String() }

func (m *byteMeter) total() int64 { return m.in.Load() + m.out.Load() }

func (m *byteMeter) accept() {
	for {
		client, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.connect(client)
	}
}

func (m *byteMeter) connect(client net.Conn) {
	server, err := net.Dial("tcp", m.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go forwardCounted(server, client, &m.in)
	go forwardCounted(client, server, &m.out)
}

func forwardCounted(to, from net.Conn, count *atomic.Int64) {
	_, _ = io.Copy(&countingWriter{to, count}, from)
	_ = to.Close()
	_ = from.Close()
}

type countingWriter struct {
	to    io.Writer
	count *atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.count.Add(int64(n))
	return n, err
}
