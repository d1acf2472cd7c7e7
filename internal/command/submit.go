package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "send jobs to an entry and print their answers",
		ArgsUsage:   "FILE...",
		Description: submitDescription,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Value: []string{"127.0.0.1:7000"}, Usage: "`ADDRESS` of an entry; may be repeated, later ones are tried when earlier ones are draining or unreachable"},
			caFlag(),
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("POPLARLEVER_TOKEN"), Usage: "bearer `TOKEN` of the client account"},
			&cli.BoolFlag{Name: "json", Usage: "print each answer as one line of JSON"},
			&cli.BoolFlag{Name: "key", Usage: "fetch a key first and print it to standard error, so that the job can be submitted again"},
		},
		Action: runSubmit,
	}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return cli.Exit("submit needs at least one file", ExitUsage)
	}
	jobs := make([]*pb.SubmitRequest, 0, cmd.Args().Len())
	for _, file := range cmd.Args().Slice() {
		job, err := readJob(file)
		if err != nil {
			return err
		}
		jobs = append(jobs, job)
	}
	tlsConfig, err := clientTLS(cmd)
	if err != nil {
		return err
	}
	s := &submitter{entries: cmd.StringSlice("entry"), token: cmd.String("token"), tlsConfig: tlsConfig, newProgress: terminalProgress(os.Stderr)}
	for _, job := range jobs {
		if cmd.Bool("key") && job.GetIdempotencyKey() == "" {
			if err := s.addKey(ctx, job, cmd.ErrWriter); err != nil {
				return err
			}
		}
		answer, err := s.submitWithSignals(ctx, job)
		if err != nil {
			return err
		}
		if err := printAnswer(cmd.Writer, answer, cmd.Bool("json")); err != nil {
			return err
		}
		if err := outcomeError(answer); err != nil {
			return err
		}
	}
	return nil
}

// readJob reads a JSON job file. Errors carry ExitUsage.
func readJob(file string) (*pb.SubmitRequest, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, cli.Exit(err.Error(), ExitUsage)
	}
	job := &pb.SubmitRequest{}
	if err := protojson.Unmarshal(content, job); err != nil {
		return nil, cli.Exit(fmt.Sprintf("%s: %v", file, err), ExitUsage)
	}
	return job, nil
}

// submitFile submits the job in the file to one entry and prints the answer. An
// error for an incomplete job carries the exit code of the outcome.
func submitFile(ctx context.Context, w io.Writer, address, file string) error {
	job, err := readJob(file)
	if err != nil {
		return err
	}
	answer, err := (&submitter{entries: []string{address}}).submit(ctx, job)
	if err != nil {
		return err
	}
	if err := printAnswer(w, answer, false); err != nil {
		return err
	}
	return outcomeError(answer)
}

func printAnswer(w io.Writer, answer *pb.SubmitResponse, oneLine bool) error {
	out, err := protojson.MarshalOptions{Multiline: !oneLine}.Marshal(answer)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(out))
	return err
}

// outcomeError returns nil for a complete job, and otherwise an error with the exit
// code of the outcome.
func outcomeError(answer *pb.SubmitResponse) error {
	switch {
	case answer.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE:
		return nil
	case answer.GetFailure().GetVerdict() == pb.Verdict_VERDICT_MAY_HAVE_RUN:
		return cli.Exit("", ExitUnknown)
	case answer.GetOutcome() == pb.Outcome_OUTCOME_REFUSED:
		return cli.Exit("", ExitRefused)
	}
	return cli.Exit("", ExitFailed)
}
