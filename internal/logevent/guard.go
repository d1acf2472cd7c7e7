package logevent

import (
	"context"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// RunGuard runs the guard until ctx ends, and logs what it refuses, drops and closes. The guard
// may be nil.
func RunGuard(ctx context.Context, l *zap.Logger, g *httpserver.Guard) {
	if g == nil {
		return
	}
	g.Run(ctx, func(r bodybudget.Reason, n uint64) {
		ClientsBounded.Log(l, zap.Stringer("reason", r), zap.Uint64("count", n),
			zap.Int64("held_bytes", g.HeldBytes()), zap.Int64("connections", g.Connections()))
	})
}
