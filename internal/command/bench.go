package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure a system on loopback under a scenario; the last line is one JSON object",
		Description: "Examples:\n  poplarlever bench --list\n  poplarlever bench --scenario steady --seed 1 --json",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "list", Usage: "list scenarios and policies"},
			&cli.StringFlag{Name: "scenario", Value: "steady", Usage: "`NAME` of the scenario; join several with +"},
			&cli.StringFlag{Name: "policy", Value: bench.Policies()[0], Usage: "`NAME` of the placement policy"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the trace"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "number of entries"},
			&cli.IntFlag{Name: "workers", Value: 11, Usage: "number of workers"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "slots of each worker"},
			&cli.FloatFlag{Name: "load", Usage: "offered slot time as a fraction of the fleet's; 0 means that of the scenario"},
			&cli.IntFlag{Name: "accounts", Value: 1, Usage: "number of client accounts"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "time over which jobs arrive"},
			&cli.DurationFlag{Name: "task-times", Usage: "run time of every task; 0 means the default mix"},
			&cli.BoolFlag{Name: "json", Usage: "print nothing but the JSON object"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Bool("list") {
				fmt.Fprintln(cmd.Writer, "scenarios:", strings.Join(bench.Scenarios(), " "))
				fmt.Fprintln(cmd.Writer, "slopes:", strings.Join(bench.Slopes(), " "))
				fmt.Fprintln(cmd.Writer, "policies:", strings.Join(bench.Policies(), " "))
				return nil
			}
			if bench.IsSlope(cmd.String("scenario")) {
				return runSlope(cmd)
			}
			return runBench(cmd)
		},
	}
}

func runBench(cmd *cli.Command) error {
	options := bench.Options{
		Scenario: cmd.String("scenario"), Policy: cmd.String("policy"), Seed: cmd.Uint64("seed"),
		Entries: cmd.Int("entries"), Workers: cmd.Int("workers"), Slots: cmd.Int("slots"),
		Load: cmd.Float("load"), Accounts: cmd.Int("accounts"),
		Duration: cmd.Duration("duration"), TaskTime: cmd.Duration("task-times"),
	}
	if err := options.Validate(); err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	result, err := bench.Run(options, benchTextOutput(cmd))
	if err != nil {
		return err
	}
	return json.NewEncoder(cmd.Writer).Encode(result)
}

// runSlope measures a slope. It prints the points and the fits, and one JSON object
// as the last line.
func runSlope(cmd *cli.Command) error {
	name := cmd.String("scenario")
	if !slices.Contains(bench.Slopes(), name) {
		return cli.Exit(fmt.Sprintf("unknown scenario %q", name), ExitUsage)
	}
	result, err := bench.RunSlope(name, cmd.Uint64("seed"), benchTextOutput(cmd))
	if err != nil {
		return err
	}
	return json.NewEncoder(cmd.Writer).Encode(result)
}

// benchTextOutput returns the writer for human-readable output, which --json
// discards.
func benchTextOutput(cmd *cli.Command) io.Writer {
	if cmd.Bool("json") {
		return io.Discard
	}
	return cmd.Writer
}
