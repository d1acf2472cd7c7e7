package coretest_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/coretest"
)

// rapidSeed makes every run draw the same cases.
const rapidSeed = "20250117"

// Guards against the same failures as TestRandomRuns. Here all kinds of actions are
// equally frequent, so that there are many faults, and the actions of a failed run
// are shrunk to a short list.
func TestDrawnRuns(t *testing.T) {
	setFlag(t, "rapid.seed", rapidSeed)
	setFlag(t, "rapid.checks", "60")
	setFlag(t, "rapid.nofailfile", "true")
	action := rapid.Custom(func(t *rapid.T) coretest.Action {
		return coretest.Action{
			Kind: coretest.ActionKind(rapid.IntRange(0, coretest.ActionKinds()-1).Draw(t, "kind")),
			Pick: rapid.Uint16().Draw(t, "pick"),
			Size: rapid.Uint16().Draw(t, "size"),
			Wait: rapid.Uint8().Draw(t, "wait"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		actions := rapid.SliceOfN(action, 1, 100).Draw(t, "actions")
		if _, err := coretest.Replay(seed, actions, nil); err != nil {
			t.Fatal(err)
		}
	})
}

func setFlag(t *testing.T, name, value string) {
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
