package command

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/settings"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run the agent beside one endpoint",
		Description: agentDescription,
		Flags: append(processFlags(settings.DefaultAgentListen, "for the endpoint and metrics"),
			&cli.StringFlag{Name: "worker", Usage: "name of the worker, unique among all"},
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry; may be repeated (default: " + settings.DefaultEntryListen + ")"},
			&cli.IntFlag{Name: "links", Usage: "number of entries to link to"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ignoreSIGHUP()
			s, err := loadAgent(cmd)
			if err != nil {
				return err
			}
			log, err := logevent.NewLogger(s.Log.Format, s.Log.Level)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			limitAgentMemory(s.Limits.Memory.N)
			a, err := buildAgent(s, log)
			if err != nil {
				return err
			}
			// The settings count until the end of the stop.
			running, end := context.WithCancel(ctx)
			defer end()
			onSIGHUP(running, func() {
				fresh, err := loadAgent(cmd)
				if err == nil {
					a.SetEntries(fresh.Entries)
				}
				logReload(log, err)
			})
			ctx, stop := stopSignals(ctx, a.Hurry)
			defer stop()
			err = a.Run(ctx, s.StopLimit.Duration)
			if errorx.IsOfType(err, agentd.ErrDuplicateWorker) {
				return s.Source.Fault("worker", err)
			}
			return err
		},
	}
}

func loadAgent(cmd *cli.Command) (settings.Agent, error) {
	s, err := settings.LoadAgent(cmd.String("settings"), func(s *settings.Agent) []settings.Override { return agentOverrides(cmd, s) })
	applyContracts(cmd, s.Source, agentFeatures(&s))
	return s, err
}

func agentOverrides(cmd *cli.Command, s *settings.Agent) []settings.Override {
	list := append(processOverrides(cmd, &s.Listen, &s.FailureDomain, &s.StopLimit, &s.Log),
		overrides(cmd, map[string]*string{"worker": &s.Worker})...)
	list = append(list, limitOverrides(cmd, &s.Limits.Memory, &s.Limits.MaxDescriptors)...)
	if cmd.IsSet("entry") {
		list = append(list, settings.Override{Key: "entries", Flag: "entry", Set: func() { s.Entries = cmd.StringSlice("entry") }})
	}
	if cmd.IsSet("links") {
		list = append(list, settings.Override{Key: "links", Flag: "links", Set: func() { s.Links = cmd.Int("links") }})
	}
	return list
}
