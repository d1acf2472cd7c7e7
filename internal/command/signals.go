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

// ignoreSIGHUP ignores SIGHUP until onSIGHUP is called. The settings are read
// after this call, so an ignored signal does not leave them outdated.
func ignoreSIGHUP() { signal.Ignore(syscall.SIGHUP) }

// onSIGHUP calls reload at each SIGHUP until the context ends. Later ones are
// ignored: the default action would kill the process during its graceful stop.
func onSIGHUP(ctx context.Context, reload func()) {
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

// logReload logs whether the settings could be reloaded.
func logReload(log *zap.Logger, err error) {
	if err != nil {
		logevent.SettingsRejected.Log(log, zap.Error(err))
		return
	}
	logevent.SettingsReloaded.Log(log)
}

// stopSignals returns a context that ends with the first SIGINT or SIGTERM and
// calls forceStop at the second one.
func stopSignals(parent context.Context, forceStop func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer signal.Stop(received)
		for _, action := range []func(){cancel, forceStop} {
			select {
			case <-received:
				action()
			case <-parent.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
