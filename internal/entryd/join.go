package entryd

import (
	"context"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// Join makes the entry take its policy and its peers from the platform. The entry is
// ready once a table revision is in force. Call it before Run.
func (d *Daemon) Join(p *Platform) {
	d.platform = p
	p.applyPolicy = func(policy entry.Policy) {
		d.SetPolicy(policy)
		d.setReady(true)
	}
	self := msg.Peer{Name: p.cfg.Self.Name, Address: p.cfg.Self.Address, FailureDomain: p.cfg.Self.FailureDomain}
	p.setPeers = func(peers []msg.Peer) {
		d.peers.set(peers)
		d.loop.step(entry.SetPeers{Self: self, Peers: peers})
	}
	p.setEvacuations = func(r evacuation.Report) { d.loop.step(entry.SetEvacuations{Report: r}) }
	p.cancelHere = d.jobs.cancelNamed
	path, handler := poplarleverv1connect.NewPeerHandler(p, fromProcesses(d.server))
	d.server.HandleInternal(path, httpserver.BoundMessages(handler, d.server.Guard().MaxFrame()))
}

// SetSeeds replaces the addresses of entries to ask when the store is down. It needs a
// platform.
func (d *Daemon) SetSeeds(addresses []string) {
	if d.platform != nil {
		d.platform.SetSeeds(addresses)
	}
}

// runPlatform starts the platform and returns a function that waits for its end. The entry
// follows the platform until ctx ends, and is registered there until registered ends. Call it
// with the end of the last job as ctx: until then a stopping entry serves by what it learns.
func (d *Daemon) runPlatform(ctx, registered context.Context) (wait func()) {
	if d.platform == nil {
		d.setReady(true)
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.platform.run(ctx, registered)
		// An idle connection would delay the shutdown of the entry at its other end.
		d.platform.client.CloseIdleConnections()
		d.keyed.client.CloseIdleConnections()
	}()
	return func() { <-done }
}

// setReady sets the state of the readiness page. Once false, it stays false.
func (d *Daemon) setReady(ready bool) {
	d.readinessMu.Lock()
	defer d.readinessMu.Unlock()
	d.stopping = d.stopping || !ready
	d.server.SetReady(!d.stopping)
	for _, s := range d.adapterServers {
		s.SetReady(!d.stopping)
	}
}
