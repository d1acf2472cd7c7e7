package agentd

import (
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// evacuationChanged tells the lease core of the evacuation of this failure domain, so that
// starts which wait for the worker's answer are not sent.
func (l *loop) evacuationChanged(e agent.EvacuationChanged) {
	logevent.EvacuationChanged.Log(l.log, zap.String("domain", e.Name), zap.Bool("evacuated", e.Evacuated), zap.Uint64("version", e.Version))
	if l.leased != nil {
		l.leased.core.Step(l.now(), lease.SetEvacuated{Evacuated: e.Evacuated})
	}
}

func (l *loop) evacuationRejected(r evacuation.Rejection) {
	logevent.EvacuationRejected.Log(l.log, zap.String("domain", r.Domain.Name), zap.Uint64("version", r.Domain.Version), zap.Error(r.Err))
	if l.metrics != nil {
		l.metrics.EvacuationRejected()
	}
}
