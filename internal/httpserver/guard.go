package httpserver

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

// Resources are what a process may use of its machine.
type Resources struct {
	// Memory is in bytes; zero means that it is not bounded by the settings.
	Memory int64
	// Descriptors is the largest number of open descriptors; zero means unknown.
	Descriptors int
}

const (
	// defaultBudget is the memory of requests without a bound of the process's memory.
	defaultBudget = 512 << 20
	// minBudget lets one body of the largest legal size, 4 MiB, be read in a buffer that
	// doubles, beside small requests.
	minBudget = 12 << 20
	// budgetShare is the part of the memory for requests: a fifth. The rest is for
	// connections, a half at most, for what the process needs by itself, and for garbage.
	budgetShare = 5
	// connectionBytes is the memory of a connection: goroutine, buffers and header in the
	// process, and what the kernel holds unread.
	connectionBytes = 16<<10 + receiveBuffer
	// receiveBuffer is the size of the receive buffer of a connection that serves callers, in
	// bytes; the kernel doubles it. Left to itself it holds several MiB of what a slow process
	// has not read yet. On loopback, with segments of 64 KiB, 16 KiB make a body of 1 MiB take
	// 7 s.
	receiveBuffer = 48 << 10
	// linkReceiveBuffer replaces receiveBuffer for connections of the system's own processes.
	linkReceiveBuffer = 256 << 10

	// fileDescriptors are set apart for files, outgoingDescriptors for connections that the
	// process opens: to the store, to the worker, to other entries.
	fileDescriptors     = 200
	outgoingDescriptors = 128
	// minConnections keeps a process usable whose settings leave it next to nothing.
	minConnections = 32
)

// Guard bounds what the peers of one process can make it hold. Its servers share it. A nil
// Guard bounds only the size of single bodies.
type Guard struct {
	budget    *bodybudget.Budget
	resources Resources
	// decoding holds a value for each large body that is being decoded.
	decoding chan struct{}
	// counts are the requests and connections that were refused, dropped or closed.
	counts      [256]atomic.Uint64
	connections atomic.Int64
	links       atomic.Int64
}

// largeDecodes is how many large bodies are decoded at once. A decoded form takes several times
// the memory of its body until the body is given up.
const largeDecodes = 1

// NewGuard returns a guard for a process with the given resources.
func NewGuard(r Resources) *Guard {
	size := int64(defaultBudget)
	if r.Memory > 0 {
		size = max(minBudget, r.Memory/budgetShare)
	}
	return &Guard{
		budget: bodybudget.New(bodybudget.Config{Bytes: size}), resources: r,
		decoding: make(chan struct{}, largeDecodes),
	}
}

// HeldBytes returns the memory of the requests in progress, in bytes.
func (g *Guard) HeldBytes() int64 { return g.budget.Used() }

// Connections returns the number of open connections that peers have opened.
func (g *Guard) Connections() int64 { return g.connections.Load() }

// Count returns how many requests and connections were refused, dropped or closed for a reason.
func (g *Guard) Count(r bodybudget.Reason) uint64 { return g.counts[r].Load() }

func (g *Guard) count(r bodybudget.Reason) {
	if g != nil {
		g.counts[r].Add(1)
	}
}

// Run drops bodies that stand still, and reports each second how many requests and connections
// were refused, dropped or closed for a reason, until ctx ends.
func (g *Guard) Run(ctx context.Context, report func(r bodybudget.Reason, n uint64)) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var reported [256]uint64
	for {
		select {
		case now := <-ticker.C:
			g.budget.Sweep(now)
			for _, r := range bodybudget.Reasons() {
				if n := g.Count(r); n > reported[r] {
					report(r, n-reported[r])
					reported[r] = n
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// MaxFrame returns the largest message that another process of the system may send, in bytes: at
// least what a few results of the largest size take.
func (g *Guard) MaxFrame() int {
	const least, most = 16 << 20, 64 << 20
	if g == nil || g.resources.Memory == 0 {
		return most
	}
	return int(min(most, max(least, g.resources.Memory/8)))
}

// RetryAfter returns when a request that was refused for want of memory or connections may
// come back. It is spread, so that callers that were refused together do not come back together.
func RetryAfter() time.Duration {
	return time.Second + time.Duration(rand.Int64N(int64(2*time.Second)))
}

// share returns the largest number of connections of a listener that gets a part of the
// memory and of the descriptors. Zero means no bound.
func (g *Guard) share(memoryParts, descriptorParts int64) int64 {
	n := int64(math.MaxInt64)
	if g.resources.Memory > 0 {
		n = g.resources.Memory / memoryParts / connectionBytes
	}
	if g.resources.Descriptors > 0 {
		n = min(n, g.incoming()/descriptorParts)
	}
	if n == math.MaxInt64 {
		return 0
	}
	return max(minConnections, n)
}

// incoming returns the number of descriptors for connections that peers open.
func (g *Guard) incoming() int64 {
	return max(0, int64(g.resources.Descriptors)-fileDescriptors-outgoingDescriptors)
}

// maxLinks returns the largest number of connections of the system's own processes.
func (g *Guard) maxLinks() int64 {
	if g.resources.Descriptors == 0 {
		return 0
	}
	return max(minConnections, g.incoming()/4)
}
