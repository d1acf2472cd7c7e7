package command

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/fake/endpoint"
)

func fakeEndpointCommand() *cli.Command {
	return &cli.Command{
		Name:   "fake-endpoint",
		Usage:  "run a stand-in endpoint that echoes payloads",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7200", Usage: "`ADDRESS` for tasks"},
			&cli.StringFlag{Name: "agent", Value: "127.0.0.1:7100", Usage: "`ADDRESS` of the agent"},
			&cli.StringFlag{Name: "service", Value: "route-desk", Usage: "service of the endpoint"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "number of concurrent tasks"},
			&cli.DurationFlag{Name: "task-time", Value: 50 * time.Millisecond, Usage: "run time of a task"},
			&cli.StringFlag{Name: "record", Usage: "append the payload of each started task to `FILE`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := untilSignal(ctx)
			defer stop()
			taskTime, err := recordingTaskTime(cmd.String("record"), cmd.Duration("task-time"))
			if err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			e, err := endpoint.Listen(endpoint.Config{
				Address: cmd.String("listen"), Agent: cmd.String("agent"), Service: cmd.String("service"),
				Slots: cmd.Int("slots"), Connections: 64,
				TaskTime: taskTime, Misbehave: true,
			})
			if err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			return e.Run(ctx)
		},
	}
}

// recordingTaskTime returns a function that appends each payload to the file as
// one line and returns the task's run time. A payload whose first word is a duration
// sets the run time; otherwise it is defaultTime.
func recordingTaskTime(file string, defaultTime time.Duration) (func([]byte) time.Duration, error) {
	var out io.Writer = io.Discard
	if file != "" {
		f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		out = f
	}
	return func(payload []byte) time.Duration {
		// A single write keeps the lines of concurrent tasks from interleaving.
		_, _ = out.Write(append(slices.Clone(payload), '\n'))
		first, _, _ := strings.Cut(string(payload), " ")
		if requested, err := time.ParseDuration(first); err == nil {
			return requested
		}
		return defaultTime
	}, nil
}
