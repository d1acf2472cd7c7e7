package command

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/settings"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry, which takes jobs from callers",
		Description: entryDescription,
		Flags: append(processFlags(settings.DefaultEntryListen, "for callers, agents and operators"),
			&cli.StringFlag{Name: "name", Usage: "name of the entry, unique among all"},
			&cli.StringFlag{Name: "advertise", Usage: "`ADDRESS` that agents reach the entry at"},
			&cli.StringSliceFlag{Name: "peer", Usage: "`ADDRESS` of an entry to ask when the store is down; may be repeated"},
			&cli.StringFlag{Name: "authentication", Usage: "token or off; off is allowed only on loopback"},
			&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ignoreSIGHUP()
			s, err := loadEntry(cmd)
			if err != nil {
				return err
			}
			log, err := logevent.NewLogger(s.Log.Format, s.Log.Level)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			limitMemory(s.Limits.Memory.N)
			d, err := buildEntry(s, log)
			if err != nil {
				return err
			}
			// The settings count until the end of the stop.
			running, end := context.WithCancel(ctx)
			defer end()
			onSIGHUP(running, func() {
				fresh, err := loadEntry(cmd)
				if err == nil {
					d.SetSeeds(fresh.Peers)
				}
				logReload(log, err)
			})
			ctx, stop := stopSignals(ctx, d.Hurry)
			defer stop()
			err = d.Run(ctx, s.StopLimit.Duration)
			if errorx.IsOfType(err, entryd.ErrDuplicateEntry) {
				return s.Source.Fault("name", err)
			}
			return err
		},
	}
}

func loadEntry(cmd *cli.Command) (settings.Entry, error) {
	s, err := settings.LoadEntry(cmd.String("settings"), func(s *settings.Entry) []settings.Override { return entryOverrides(cmd, s) })
	applyContracts(cmd, s.Source, entryFeatures(&s))
	return s, err
}

func entryOverrides(cmd *cli.Command, s *settings.Entry) []settings.Override {
	list := append(processOverrides(cmd, &s.Listen, &s.FailureDomain, &s.StopLimit, &s.Log),
		overrides(cmd, map[string]*string{
			"name": &s.Name, "advertise": &s.Advertise, "store.address": &s.Store.Address,
			"authentication": &s.Authentication,
		})...)
	list = append(list, limitOverrides(cmd, &s.Limits.Memory, &s.Limits.MaxDescriptors)...)
	if cmd.IsSet("peer") {
		list = append(list, settings.Override{Key: "peers", Flag: "peer", Set: func() { s.Peers = cmd.StringSlice("peer") }})
	}
	return list
}
