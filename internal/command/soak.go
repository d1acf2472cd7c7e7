package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/core/coretest"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// soakProgressInterval is the time between two progress lines.
const soakProgressInterval = 10 * time.Second

// soakReport is the JSON object of a soak or of a replay.
type soakReport struct {
	Seed uint64 `json:"seed"`
	coretest.Summary
	Failed *soakFailure `json:"failed,omitempty"`
}

type soakFailure struct {
	Seed   uint64 `json:"seed"`
	Trace  string `json:"trace"`
	Error  string `json:"error"`
	Replay string `json:"replay"`
}

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the cores with random faults in simulated time and check every guarantee",
		Description: "Violated invariants are fatal. The exit code is 1 after a failure.\n\n" +
			"Examples:\n  poplarlever soak --seed 1 --duration 3m\n  poplarlever soak --replay 7",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` from which the seeds of the runs are derived"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "time after which no further run starts"},
			&cli.Uint64Flag{Name: "replay", Usage: "run only this `SEED` and print its events"},
			&cli.BoolFlag{Name: "json", Usage: "print nothing but one JSON object"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			invariant.SetFatal(true)
			textOut := cmd.Root().Writer
			if cmd.Bool("json") {
				textOut = io.Discard
			}
			if cmd.IsSet("replay") {
				return replay(cmd, textOut)
			}
			return soak(cmd, textOut)
		},
	}
}

func soak(cmd *cli.Command, textOut io.Writer) error {
	base := cmd.Uint64("seed")
	nextReport := time.Now().Add(soakProgressInterval)
	summary, failure := coretest.Soak(base, cmd.Duration("duration"), func(s coretest.Summary) {
		if time.Now().After(nextReport) {
			printSummary(textOut, s)
			nextReport = time.Now().Add(soakProgressInterval)
		}
	})
	printSummary(textOut, summary)
	return reportSoak(cmd, base, summary, failure)
}

// replay repeats one run of a soak and prints its events.
func replay(cmd *cli.Command, textOut io.Writer) error {
	seed := cmd.Uint64("replay")
	result, err := coretest.Replay(seed, coretest.Actions(seed, coretest.SoakSteps), textOut)
	fmt.Fprintf(textOut, "trace %016x\n", result.Trace)
	summary := coretest.Summary{Seeds: 1, Jobs: result.Submitted, Starts: result.Starts, Faults: result.Faults}
	if err == nil {
		return reportSoak(cmd, seed, summary, nil)
	}
	return reportSoak(cmd, seed, summary, &coretest.Failure{Seed: seed, Trace: result.Trace, Err: err})
}

func printSummary(w io.Writer, s coretest.Summary) {
	fmt.Fprintf(w, "seeds %d, jobs %d, starts %d, faults %d\n", s.Seeds, s.Jobs, s.Starts, s.Faults)
}

// reportSoak prints the JSON object with --json and returns a failure as an error
// with exit code 1.
func reportSoak(cmd *cli.Command, seed uint64, summary coretest.Summary, f *coretest.Failure) error {
	report := soakReport{Seed: seed, Summary: summary}
	if f != nil {
		report.Failed = &soakFailure{
			Seed: f.Seed, Trace: fmt.Sprintf("%016x", f.Trace), Error: f.Err.Error(),
			Replay: fmt.Sprintf("poplarlever soak --replay %d", f.Seed),
		}
	}
	if cmd.Bool("json") {
		if err := json.NewEncoder(cmd.Root().Writer).Encode(report); err != nil {
			return err
		}
	}
	if f == nil {
		return nil
	}
	return cli.Exit(fmt.Sprintf("seed %d failed with trace %s: %s\nreplay with: %s",
		f.Seed, report.Failed.Trace, report.Failed.Error, report.Failed.Replay), ExitFailed)
}
