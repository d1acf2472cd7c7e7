package agentd

import (
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/linkpb"
)

var errorNamespace = errorx.NewNamespace("agentd")

// ErrDuplicateWorker means that another live agent already uses the worker's name.
var ErrDuplicateWorker = errorNamespace.NewType("duplicate_worker")

// duplicateAfter is how long entries have to reject the agent before it gives up. It
// exceeds the 3 s for which an entry reserves the name of a silent agent, so that an
// agent can replace a dead one.
const duplicateAfter = 5 * time.Second

// identityCheck decides whether the worker's name is already in use. Once an entry
// has accepted the agent, later rejections are ignored. It is safe for concurrent use.
type identityCheck struct {
	failed chan error

	mu            sync.Mutex
	everAccepted  bool
	firstRejected time.Time
}

func newIdentityCheck() *identityCheck { return &identityCheck{failed: make(chan error, 1)} }

func (c *identityCheck) accepted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.everAccepted = true
}

func (c *identityCheck) rejected(reason, address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason != linkpb.RejectedDuplicateWorker || c.everAccepted {
		return
	}
	if c.firstRejected.IsZero() {
		c.firstRejected = now
	}
	if now.Sub(c.firstRejected) < duplicateAfter {
		return
	}
	select {
	case c.failed <- ErrDuplicateWorker.New("entry %s knows a live agent with this name", address):
	default:
	}
}
