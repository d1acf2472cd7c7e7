package command

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/settings"
)

// Guards against a contract that overrules what the settings say, and against a feature that is
// on without a contract.
func TestContractsSwitchOnWhatSettingsLeaveOpen(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		file, contracts string
		want            bool
	}{
		{"", "", false},
		{"", "base,sched", false},
		{"", "base,places", true},
		{"evacuations = false\n", "base,places", false},
		{"evacuations = true\n", "base", true},
	} {
		file := filepath.Join(c.TempDir(), "entry.toml")
		c.Assert(os.WriteFile(file, []byte("name = \"e\"\n"+test.file), 0o600), qt.IsNil)
		var loaded settings.Entry
		cmd := entryCommand()
		cmd.Action = func(_ context.Context, cmd *cli.Command) (err error) {
			loaded, err = loadEntry(cmd)
			return err
		}
		c.Assert(cmd.Run(context.Background(), []string{"entry", "--settings", file, "--platform-contracts", test.contracts}), qt.IsNil)
		c.Check(loaded.Evacuations, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
