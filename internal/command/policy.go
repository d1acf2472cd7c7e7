package command

import (
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/table"
)

// builtInPolicy returns the built-in table as revision 1. An entry uses it when
// the settings name neither a store nor peers.
func builtInPolicy() (entry.Policy, error) {
	f, err := table.Decode([]byte(devTable))
	if err != nil {
		return entry.Policy{}, err
	}
	return table.Policy(1, f.Table), nil
}
