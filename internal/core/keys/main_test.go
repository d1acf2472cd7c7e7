package keys_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless a flag sets it, so that every run checks the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
