package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/logevent"
)

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// onReload calls reload at each SIGHUP until the context ends. The process would
// end at the signal otherwise.
func onReload(ctx context.Context, reload func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	go func() {
		defer signal.Stop(received)
		for {
			select {
			case <-received:
				reload()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// reloaded logs the outcome of reading the settings again.
func reloaded(log *zap.Logger, err error) {
	if err != nil {
		logevent.SettingsRejected.Log(log, zap.Error(err))
		return
	}
	logevent.SettingsReloaded.Log(log)
}

// stopSignals returns a context that ends with the first SIGINT or SIGTERM and
// calls hurry at the second one.
func stopSignals(parent context.Context, hurry func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer signal.Stop(received)
		for _, act := range []func(){cancel, hurry} {
			select {
			case <-received:
				act()
			case <-parent.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
