package command

import (
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/settings"
	"github.com/poplarlever/poplarlever/internal/tlsconfig"
)

// flagNames maps settings keys to flags whose names do not follow from the key.
var flagNames = map[string]string{"store.address": "store"}

// processFlags returns the flags that the entry and agent commands share.
func processFlags(listen, purpose string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "TOML settings `FILE`"},
		&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` " + purpose + " (default: " + listen + ")"},
		&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of this VM"},
		&cli.DurationFlag{Name: "stop-limit", Usage: "longest duration of a graceful stop", DefaultText: settings.DefaultStopLimit.String()},
		contractsFlag(),
		&cli.StringFlag{Name: "log-format", Usage: "json or console"},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error"},
	}
}

func processOverrides(cmd *cli.Command, listen, failureDomain *string, stop *settings.Duration, log *settings.Log) []settings.Override {
	list := overrides(cmd, map[string]*string{
		"listen": listen, "failure_domain": failureDomain, "log.format": &log.Format, "log.level": &log.Level,
	})
	if cmd.IsSet("stop-limit") {
		list = append(list, settings.Override{Key: "stop_limit", Flag: "stop-limit", Set: func() { stop.Duration = cmd.Duration("stop-limit") }})
	}
	return list
}

// overrides returns an override for each key whose flag is set on the command line.
func overrides(cmd *cli.Command, targets map[string]*string) []settings.Override {
	var list []settings.Override
	for key, target := range targets {
		flag, ok := flagNames[key]
		if !ok {
			flag = strings.NewReplacer("_", "-", ".", "-").Replace(key)
		}
		if cmd.IsSet(flag) {
			list = append(list, settings.Override{Key: key, Flag: flag, Set: func() { *target = cmd.String(flag) }})
		}
	}
	return list
}

// caFlag names the PEM file of the certificate authority that a command trusts.
func caFlag() cli.Flag {
	return &cli.StringFlag{Name: "ca", Usage: "use TLS and trust the certificate authority in the PEM `FILE`"}
}

// clientTLS returns the TLS configuration for caFlag. Without the flag the
// command connects without TLS.
func clientTLS(cmd *cli.Command) (tlsconfig.Config, error) {
	ca := cmd.String("ca")
	if ca == "" {
		return tlsconfig.Config{}, nil
	}
	client, err := tlsconfig.Client(ca)
	if err != nil {
		return tlsconfig.Config{}, cli.Exit("--ca: "+err.Error(), ExitUsage)
	}
	return tlsconfig.Config{Client: client}, nil
}
