package endpoint

import (
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
)

// First words of a payload that make the endpoint inject a fault when
// Config.Misbehave is set.
const (
	// Fail answers with an HTTP error.
	Fail = "fail"
	// Stall sends no answer until the agent closes the connection.
	Stall = "stall"
	// Reset resets the connection without an answer.
	Reset = "reset"
	// Truncate sends a part of an answer and closes the connection.
	Truncate = "half"
	// Crash closes the listener and every connection at once.
	Crash = "crash"
	// LeaveFirst announces that the endpoint is leaving, then runs the task.
	LeaveFirst = "leave"
)

// injectFault injects the fault that the payload's first word names and reports
// whether it replaced the task's answer.
func (e *Endpoint) injectFault(w http.ResponseWriter, r *http.Request, payload []byte) bool {
	if !e.cfg.Misbehave {
		return false
	}
	word, _, _ := strings.Cut(string(payload), " ")
	switch word {
	case Fail:
		http.Error(w, "the task failed", http.StatusInternalServerError)
	case Stall:
		<-r.Context().Done()
	case Reset, Truncate:
		breakConnection(w, word == Truncate)
	case Crash:
		_ = e.server.Close()
	case LeaveFirst:
		e.Leave()
		return false
	default:
		return false
	}
	return true
}

// breakConnection resets the connection, or closes it after a partial answer.
func breakConnection(w http.ResponseWriter, partial bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if partial {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Starts returns how often each attempt was started, by the name in
// agentd.HeaderAttempt.
func (e *Endpoint) Starts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.starts)
}
