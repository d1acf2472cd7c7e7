package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check settings files and print the defaults",
		Description: `Examples:
  poplarlever settings defaults entry > entry.toml
  poplarlever settings check entry.toml`,
		Action: showHelp,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check the settings of an entry or an agent", ArgsUsage: "FILE...",
				Description: "Prints one line for each file. Stops at the first invalid file with exit code 2.\n\nExample:\n  poplarlever settings check entry.toml agent.toml",
				Action:      checkSettings,
			},
			{
				Name: "defaults", Usage: "print a commented settings file", ArgsUsage: "entry|agent",
				Description: "The file passes \"settings check\"; replace the names in it.\n\nExample:\n  poplarlever settings defaults agent > agent.toml",
				Action:      printDefaults,
			},
		},
	}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return cli.Exit("settings check: name at least one file", ExitUsage)
	}
	for _, file := range cmd.Args().Slice() {
		role, err := settings.Check(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "%s: valid settings of an %s\n", file, role)
	}
	return nil
}

func printDefaults(_ context.Context, cmd *cli.Command) error {
	switch cmd.Args().First() {
	case "entry":
		fmt.Fprint(cmd.Root().Writer, settings.EntryDefaults())
	case "agent":
		fmt.Fprint(cmd.Root().Writer, settings.AgentDefaults())
	default:
		return cli.Exit("settings defaults: name a role, entry or agent", ExitUsage)
	}
	return nil
}
