package keys_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/keys"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

var testConfig = keys.Config{
	Address: "127.0.0.1:7000", Incarnation: 5, Secret: []byte("secret"), Lifetime: time.Hour, MaxKeys: 20_000,
	KeepAnswers: time.Minute, MaxAnswers: 3, MaxAnswerBytes: 100,
}

// keyModel is the expected state of one key.
type keyModel struct {
	key     keys.Key
	content keys.Digest
	running bool
	// ended is the verdict of the request that ran or may have run under the key; zero
	// when there is none.
	ended verdict.Verdict
}

// Guards against a second run under a key in any order of claims, finishes, dropped
// answers and expiries.
func TestTableRunsEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := keys.New[int](testConfig)
		now := time.Unix(0, 0)
		var model []*keyModel
		pick := func(t *rapid.T) *keyModel {
			if len(model) == 0 {
				t.Skip("no keys")
			}
			return model[rapid.IntRange(0, len(model)-1).Draw(t, "key")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				for _, k := range table.Issue(now, "acc", rapid.SampledFrom([]int{1, 3, 5000}).Draw(t, "count")) {
					model = append(model, &keyModel{key: k})
				}
			},
			"claim": func(t *rapid.T) {
				m := pick(t)
				content := keys.Content([]byte(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content")))
				checkClaim(t, table, now, m, content)
			},
			"claim for another account": func(t *rapid.T) {
				if d, _ := table.Claim(now, pick(t).key, "other", keys.Digest{}, keys.SubmissionID{}); d != keys.NotIssued {
					t.Fatalf("a claim for another account returned decision %d", d)
				}
			},
			"finish": func(t *rapid.T) {
				m := pick(t)
				v := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
				table.Finish(now, m.key.Serial, v, int(m.key.Serial), 30)
				if m.running {
					m.running = false
					if v != verdict.NotRun {
						m.ended = v
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, 61 * time.Second, 61 * time.Minute}).Draw(t, "pause"))
				table.Expire(now)
			},
		})
	})
}

func checkClaim(t *rapid.T, table *keys.Table[int], now time.Time, m *keyModel, content keys.Digest) {
	d, answer := table.Claim(now, m.key, "acc", content, keys.SubmissionID{})
	switch d {
	case keys.Run:
		if m.running || m.ended != 0 {
			t.Fatalf("key %v runs a second time", m.key)
		}
		m.running, m.content = true, content
	case keys.Join:
		if !m.running || m.content != content {
			t.Fatalf("key %v joins a request that is not running", m.key)
		}
	case keys.Answered:
		if m.ended == 0 || m.content != content || answer != int(m.key.Serial) {
			t.Fatalf("key %v got a wrong answer %d", m.key, answer)
		}
	case keys.Dropped:
		if m.ended != verdict.Ran {
			t.Fatalf("key %v: its answer was dropped, but its verdict is %v", m.key, m.ended)
		}
	case keys.Conflict:
		if m.content == content || !(m.running || m.ended != 0) {
			t.Fatalf("key %v: unexpected conflict", m.key)
		}
	case keys.NotIssued:
		t.Fatalf("key %v is reported as not issued", m.key)
	}
}

// Guards against a table that issues more than MaxKeys keys, and against accepting
// texts other than the canonical text of a key.
func TestKeysAreBoundedAndCanonical(t *testing.T) {
	c := qt.New(t)
	table := keys.New[int](testConfig)
	now := time.Unix(0, 0)
	issued := table.Issue(now, "acc", testConfig.MaxKeys)
	c.Assert(issued, qt.HasLen, testConfig.MaxKeys)
	c.Assert(table.Issue(now, "acc", 1), qt.IsNil)
	c.Assert(table.Issue(now.Add(2*time.Hour), "acc", 1), qt.HasLen, 1)
	parsed, err := keys.Parse(issued[7].String())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.String(), qt.Equals, issued[7].String())
	for _, text := range []string{"", "x", issued[7].String() + "0", "pk1/a/05/1/0000000000000000", "pk1/a/5/1/00000000000000zz"} {
		_, err := keys.Parse(text)
		c.Check(err, qt.ErrorMatches, "keys.malformed.*", qt.Commentf(text))
	}
}
