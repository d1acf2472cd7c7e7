// Package command implements the commands of the poplarlever program, one file
// each. A command reads flags, builds the components it needs and runs them.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/settings"
)

// Exit codes of all commands.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed, or that a job ran and failed.
	ExitFailed = 1
	// ExitUsage means bad settings, flags or input files; nothing was started.
	ExitUsage = 2
	// ExitRefused means that a job was refused and did not run.
	ExitRefused = 3
	// ExitUnknown means that a job may have run.
	ExitUnknown = 4
)

// Main runs the command line and returns the exit code of the process. Errors
// are written to stderr.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := Root()
	root.Writer, root.ErrWriter = stdout, stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(stderr, "poplarlever:", text)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	var invalid *settings.Error
	switch {
	case errors.As(err, &invalid):
		return ExitUsage
	case errors.As(err, &coded):
		return coded.ExitCode()
	}
	return ExitFailed
}

// Root returns the command tree.
func Root() *cli.Command {
	root := &cli.Command{
		Name:                  "poplarlever",
		Usage:                 "dispatch sub-second tasks from callers to endpoints",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			entryCommand(), agentCommand(), devCommand(), submitCommand(), statusCommand(), explainCommand(), tableCommand(), evacuateCommand(),
			settingsCommand(), benchCommand(), soakCommand(), versionCommand(), fakeEndpointCommand(), fakeStoreCommand(),
		},
		Description: rootDescription,
		Action:      showHelp,
	}
	setUsageErrors(root)
	return root
}

// showHelp prints the help of a command without arguments and rejects unknown
// subcommands.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Sprintf("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName()), ExitUsage)
	}
	return cli.ShowSubcommandHelp(cmd)
}

// setUsageErrors makes every command report bad flags in one line, with ExitUsage.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return cli.Exit(fmt.Sprintf("%v; see %s --help", err, c.FullName()), ExitUsage)
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

// newIncarnation returns a random number that distinguishes this process from
// earlier ones with the same name. It is never zero.
func newIncarnation() msg.Incarnation { return msg.Incarnation(rand.Uint64() | 1) }
