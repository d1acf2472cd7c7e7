package keys_test

import (
	"testing"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/keys"
)

// Guards against a text that makes the parser panic, that parses as another key, or
// that runs a request without having been issued.
func FuzzParse(f *testing.F) {
	table := keys.New[int](testConfig)
	f.Add(table.Issue(time.Unix(0, 0), "acc", 1)[0].String())
	for _, text := range []string{"", "pk1////", "pk1/a/0/0/", "pk1/a/ffffffffffffffff/10000000000000000/0011223344556677", "pk1/[::1]:7/1/1/0011223344556677"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := keys.Parse(text)
		if err != nil {
			return
		}
		if key.String() != text {
			t.Fatalf("%q parses as %q", text, key)
		}
		issuer := keys.New[int](testConfig)
		if d, _ := issuer.Claim(time.Unix(0, 0), key, "acc", keys.Digest{}, keys.SubmissionID{}); d == keys.Run {
			t.Fatalf("%q runs, but was never issued", text)
		}
	})
}
