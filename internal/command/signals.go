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

// ignoreReload ignores SIGHUP until onReload is called. The settings are read
// after the call, so nothing is missed.
func ignoreReload() { signal.Ignore(syscall.SIGHUP) }

// onReload calls reload at each SIGHUP until the context ends. Later ones are
// ignored: the default action would end a process in the middle of its stop.
func onReload(ctx context.Context, reload func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-received:
				reload()
			case <-ctx.Done():
				signal.Ignore(syscall.SIGHUP)
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
