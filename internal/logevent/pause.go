package logevent

import (
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
)

// LogPause logs that the process stood still.
func LogPause(l *zap.Logger, p clock.Pause) {
	ProcessPaused.Log(l, zap.Int64("for_ms", p.For.Milliseconds()), zap.Int64("suspended_ms", p.Suspended.Milliseconds()))
}
