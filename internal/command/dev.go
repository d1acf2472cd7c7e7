package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/settings"
)

// devTaskTime is the default run time of a task at a stand-in endpoint.
const devTaskTime = 50 * time.Millisecond

func devCommand() *cli.Command {
	return &cli.Command{
		Name:        "dev",
		Usage:       "run a whole system on loopback in one process",
		Description: devDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "submit", Usage: "submit the job in `FILE`, print its answer and exit"},
			&cli.DurationFlag{Name: "task-time", Value: devTaskTime, Usage: "run time of a task"},
			&cli.StringFlag{Name: "log-level", Usage: "write log lines of this level and above to standard error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	log := zap.NewNop()
	if level := cmd.String("log-level"); level != "" {
		var err error
		if log, err = logevent.NewConsole(level); err != nil {
			return cli.Exit("--log-level: "+err.Error(), ExitUsage)
		}
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	fleet, err := startFleet(ctx, cmd.Duration("task-time"), log)
	defer fleet.stop()
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if file := cmd.String("submit"); file != "" {
		return submitFile(ctx, out, fleet.addresses[0], file)
	}
	printFleet(out, fleet.store, fleet.addresses)
	<-ctx.Done()
	return nil
}

func printFleet(w io.Writer, store string, entries []string) {
	fmt.Fprintf(w, "%d entries: %s\n", len(entries), strings.Join(entries, " "))
	fmt.Fprintf(w, "store: %s\n", store)
	fmt.Fprintf(w, "%d workers for each of: %s\n\n", devWorkers, strings.Join(devServices, " "))
	fmt.Fprintf(w, "curl -H 'Content-Type: application/json' -d @examples/atlas-job.json http://%s/poplarlever.v1.Dispatch/Submit\n", entries[0])
	fmt.Fprintf(w, "poplarlever status --entry %s\n\nCtrl-C stops.\n", strings.Join(entries, " --entry "))
}

// devEntrySettings and devAgentSettings return settings for processes that listen
// on free loopback ports.
func devEntrySettings(name, store string) settings.Entry {
	s := settings.NewEntry()
	s.Name, s.FailureDomain, s.Listen = name, settings.LocalFailureDomain, "127.0.0.1:0"
	s.Store.Address, s.Authentication = store, settings.AuthenticationOff
	return s
}

func devAgentSettings(worker string, entries []string) settings.Agent {
	s := settings.NewAgent()
	s.Worker, s.FailureDomain, s.Listen, s.Entries = worker, settings.LocalFailureDomain, "127.0.0.1:0", entries
	return s
}
