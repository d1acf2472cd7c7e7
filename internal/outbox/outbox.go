// Package outbox queues the messages that wait to be written to one link.
package outbox

import (
	"context"
	"sync"
)

// Outbox is an unbounded queue of messages. Those that are added while a frame is
// being written go into the next frame together. It is safe for concurrent use.
type Outbox[M any] struct {
	mu      sync.Mutex
	pending []M
	wake    chan struct{}
	cancel  context.CancelFunc
}

// New returns an empty outbox. Close calls cancel, which ends the link.
func New[M any](cancel context.CancelFunc) *Outbox[M] {
	return &Outbox[M]{wake: make(chan struct{}, 1), cancel: cancel}
}

// Put appends a message. It never blocks.
func (o *Outbox[M]) Put(m M) {
	o.mu.Lock()
	o.pending = append(o.pending, m)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Take removes and returns the queued messages in order.
func (o *Outbox[M]) Take() []M {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.pending
	o.pending = nil
	return taken
}

// Wake returns a channel that receives a value after messages were added. One
// value may stand for several messages.
func (o *Outbox[M]) Wake() <-chan struct{} { return o.wake }

// Close ends the link. Queued messages are not written.
func (o *Outbox[M]) Close() { o.cancel() }
