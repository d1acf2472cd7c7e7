package bench

import (
	"runtime"
	"strings"

	"github.com/poplarlever/poplarlever/internal/linkpb"
)

// roleMemory is the live memory of the daemons in this process, in bytes.
type roleMemory struct {
	entryHeap, entryStacks, agentHeap, agentStacks float64
}

// profileAllMemory makes the runtime profile every allocation, so that live heap
// can be attributed to a role. The returned function restores the previous rate.
func profileAllMemory() (restore func()) {
	rate := runtime.MemProfileRate
	runtime.MemProfileRate = 1
	return func() { runtime.MemProfileRate = rate }
}

// Substrings of function names that identify the role a goroutine belongs to.
var (
	entryFunctions = []string{"/internal/entryd.", "net/http.(*Server)", "net/http.(*conn)", "net/http.(*http2serverConn)"}
	agentFunctions = []string{"/internal/agentd.", "net/http.(*Transport)", "net/http.(*persistConn)", "net/http.(*http2ClientConn)", "net/http.(*http2clientStream)", "net/http.(*http2clientConnReadLoop)", "net/http.(*http2Transport)"}
)

const (
	roleOther = iota
	roleEntry
	roleAgent
)

// roleOfStack returns the role of the outermost function that identifies one.
func roleOfStack(stack []uintptr) int {
	role := roleOther
	frames := runtime.CallersFrames(stack)
	for {
		frame, more := frames.Next()
		if r := roleOfFunction(frame.Function); r != roleOther {
			role = r
		}
		if !more {
			return role
		}
	}
}

func roleOfFunction(name string) int {
	switch {
	case containsAny(name, entryFunctions):
		return roleEntry
	case containsAny(name, agentFunctions):
		return roleAgent
	}
	return roleOther
}

func containsAny(s string, parts []string) bool {
	for _, p := range parts {
		if strings.Contains(s, p) {
			return true
		}
	}
	return false
}

// readMemory collects garbage and reads the live memory. Stack memory is divided
// evenly among the goroutines.
func readMemory() roleMemory {
	// The profile shows the heap as of the second-to-last collection.
	runtime.GC()
	runtime.GC()
	var m roleMemory
	heap := profileRecords(func(p []runtime.MemProfileRecord) (int, bool) { return runtime.MemProfile(p, false) })
	for i := range heap {
		switch roleOfStack(heap[i].Stack()) {
		case roleEntry:
			m.entryHeap += float64(heap[i].InUseBytes())
		case roleAgent:
			m.agentHeap += float64(heap[i].InUseBytes())
		}
	}
	goroutines := profileRecords(runtime.GoroutineProfile)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	each := float64(stats.StackInuse) / float64(len(goroutines))
	for i := range goroutines {
		switch roleOfStack(goroutines[i].Stack()) {
		case roleEntry:
			m.entryStacks += each
		case roleAgent:
			m.agentStacks += each
		}
	}
	return m
}

// profileRecords returns all records of a profile function, with a larger buffer
// on each call until they fit.
func profileRecords[T any](read func([]T) (int, bool)) []T {
	n, _ := read(nil)
	for {
		records := make([]T, n+n/2+64)
		var ok bool
		if n, ok = read(records); ok {
			return records[:n]
		}
	}
}

// controlTally sums the control messages of all links in both directions.
func (f *idleFleet) controlTally() linkpb.Tally {
	var sum linkpb.Tally
	for _, t := range append(f.counter.FromEntry(), f.counter.FromAgent()...) {
		if controlKinds[t.Kind] {
			sum.Messages += t.Messages
			sum.Bytes += t.Bytes
		}
	}
	return sum
}
