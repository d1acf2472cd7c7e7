package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:        "evacuate",
		Usage:       "evacuate a failure domain and return it to service",
		Description: evacuateDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Value: "127.0.0.1:7300", Usage: "`ADDRESS` of the store"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "who", Usage: "operator's `NAME` for the others; the login name when empty"},
		},
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the evacuated failure domains", Action: evacuateAction(evacuateList)},
			{Name: "begin", Usage: "let no task start in DOMAIN any more", ArgsUsage: "DOMAIN", Action: evacuateAction(evacuateBegin)},
			{Name: "end", Usage: "let tasks start in DOMAIN again", ArgsUsage: "DOMAIN", Action: evacuateAction(evacuateEnd)},
		},
	}
}

type evacuateFunc func(context.Context, *cli.Command, tablestore.Evacuations) error

// evacuateAction runs a command against the store and maps its error to an exit code.
func evacuateAction(f evacuateFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, stop := untilSignal(ctx)
		defer stop()
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		return tableExitError(cmd, f(ctx, cmd, tablestore.Evacuations{Store: store.NewClient(cmd.String("store")), Who: operatorName(cmd)}))
	}
}

// domainArgument returns the failure domain that the command names.
func domainArgument(cmd *cli.Command) (string, error) {
	domain := cmd.Args().First()
	if err := (evacuation.Domain{Name: domain, Version: 1}).Validate(); err != nil || cmd.NArg() != 1 {
		return "", cli.Exit("name one failure domain", ExitUsage)
	}
	return domain, nil
}

func evacuateList(ctx context.Context, cmd *cli.Command, e tablestore.Evacuations) error {
	requests, err := e.List(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, requests)
	}
	for _, r := range requests {
		when := "-"
		if !r.When.IsZero() {
			when = r.When.Format(time.RFC3339)
		}
		fmt.Fprintf(cmd.Root().Writer, "%s\tversion %d\t%s\t%s\n", r.Domain, r.Version, when, r.Who)
	}
	return nil
}

func evacuateBegin(ctx context.Context, cmd *cli.Command, e tablestore.Evacuations) error {
	return evacuateChange(cmd, func(domain string) (bool, error) { return e.Begin(ctx, domain) },
		"%s is being evacuated\n", "%s was evacuated already\n")
}

func evacuateEnd(ctx context.Context, cmd *cli.Command, e tablestore.Evacuations) error {
	return evacuateChange(cmd, func(domain string) (bool, error) { return e.End(ctx, domain) },
		"%s is returned to service\n", "%s was not evacuated\n")
}

// evacuateChange makes a change and prints which of two lines applies. Both are a success.
func evacuateChange(cmd *cli.Command, change func(domain string) (bool, error), changed, unchanged string) error {
	domain, err := domainArgument(cmd)
	if err != nil {
		return err
	}
	done, err := change(domain)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, map[string]any{"domain": domain, "changed": done})
	}
	line := unchanged
	if done {
		line = changed
	}
	fmt.Fprintf(cmd.Root().Writer, line, domain)
	return nil
}
