package command

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// buildInfo holds the build information that the Go toolchain recorded.
type buildInfo struct {
	Version  string `json:"version"`
	Commit   string `json:"commit,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of the program",
		Description: "Examples:\n  poplarlever version\n  poplarlever version --json",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			b := readBuildInfo()
			if cmd.Bool("json") {
				return json.NewEncoder(cmd.Root().Writer).Encode(b)
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "poplarlever %s commit %s %s\n", b.Version, b.Commit, b.Go)
			return err
		},
	}
}

func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Commit: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version, b.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Commit = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}
