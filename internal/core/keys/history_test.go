package keys_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/keys"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// request is one submission by one client.
type request struct {
	key     int
	content byte
}

// reply is what the client learns; ran is the content that ran.
type reply struct {
	kind keys.Decision // Run for "not run", Answered for a result, Conflict, Uncertain
	ran  byte
}

// keyedModel is the sequential specification of one key: the first content that runs
// is final, and a lost answer leaves open whether the content ran.
var keyedModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{byte(0)} },
	Step: func(state, input, output any) []any {
		ran, in, out := state.(byte), input.(request), output.(reply)
		var next []any
		switch out.kind {
		case keys.Run:
			next = append(next, ran)
		case keys.Answered:
			if out.ran == in.content && (ran == 0 || ran == in.content) {
				next = append(next, in.content)
			}
		case keys.Conflict:
			if ran != 0 && ran != in.content {
				next = append(next, ran)
			}
		case keys.Uncertain:
			next = append(next, ran)
			if ran == 0 {
				next = append(next, in.content)
			}
		}
		return next
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(request).key
			parts[k] = append(parts[k], op)
		}
		var all [][]porcupine.Operation
		for _, p := range parts {
			all = append(all, p)
		}
		return all
	},
}).ToModel()

// forwardedCopy is a request on its way to an issuer. Duplicates share the client's
// submission.
type forwardedCopy struct {
	submission *submission
}

type submission struct {
	id       keys.SubmissionID
	client   int
	request  request
	calledAt int64
	done     bool
}

// cluster simulates several key tables, each with running requests, and a network
// that delays, duplicates and loses forwarded requests.
type cluster struct {
	rng         *rand.Rand
	now         time.Time
	step        int64
	tables      []*keys.Table[byte]
	issued      []keys.Key
	issuerOf    []int
	network     []forwardedCopy
	running     []run
	runCounts   map[int]int
	history     []porcupine.Operation
	idleClients []int
}

// run is a request that a table decided to run; waiting are its submissions.
type run struct {
	key     int
	content byte
	waiting []*submission
}

func newCluster(seed uint64) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), runCounts: map[int]int{}, idleClients: []int{0, 1, 2, 3, 4, 5}}
	for i := range 3 {
		table := keys.New[byte](tableConfig(msg.Incarnation(i + 1)))
		c.tables = append(c.tables, table)
		for _, k := range table.Issue(c.now, "acc", 2) {
			c.issued, c.issuerOf = append(c.issued, k), append(c.issuerOf, i)
		}
	}
	return c
}

func tableConfig(incarnation msg.Incarnation) keys.Config {
	cfg := testConfig
	cfg.Incarnation, cfg.MaxAnswers = incarnation, 100
	return cfg
}

func (c *cluster) reply(s *submission, r reply) {
	if s.done {
		return
	}
	s.done = true
	c.idleClients = append(c.idleClients, s.client)
	c.history = append(c.history, porcupine.Operation{ClientId: s.client, Input: s.request, Call: s.calledAt, Output: r, Return: c.step})
}

// submit makes an idle client submit a request, of which one or two copies are
// forwarded.
func (c *cluster) submit() {
	if len(c.idleClients) == 0 {
		return
	}
	i := c.rng.IntN(len(c.idleClients))
	s := &submission{id: keys.SubmissionID{byte(c.step), byte(c.step >> 8), 1}, client: c.idleClients[i], calledAt: c.step, request: request{c.rng.IntN(len(c.issued)), byte(1 + c.rng.IntN(5)/4)}}
	c.idleClients = slices.Delete(c.idleClients, i, i+1)
	for range 1 + c.rng.IntN(2) {
		c.network = append(c.network, forwardedCopy{submission: s})
	}
}

// deliver passes one forwarded copy to the issuer of its key.
func (c *cluster) deliver() {
	if len(c.network) == 0 {
		return
	}
	i := c.rng.IntN(len(c.network))
	f := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	s := f.submission
	table := c.tables[c.issuerOf[s.request.key]]
	decision, kept := table.Claim(c.now, c.issued[s.request.key], "acc", keys.Content([]byte{s.request.content}), s.id)
	switch decision {
	case keys.Run:
		c.running = append(c.running, run{key: s.request.key, content: s.request.content, waiting: []*submission{s}})
	case keys.Join:
		for i := range c.running {
			if c.running[i].key == s.request.key {
				c.running[i].waiting = append(c.running[i].waiting, s)
			}
		}
	case keys.Answered:
		c.reply(s, reply{keys.Answered, kept})
	case keys.Conflict:
		c.replyConflict(s)
	case keys.Repeated:
		c.reply(s, reply{kind: keys.Run})
	default:
		c.reply(s, reply{kind: keys.Uncertain})
	}
}

// replyConflict replies with a conflict when the request with the other content has
// ended. While that request is running it may still end as not run, so the model only
// takes the reply to mean that this submission did not run.
func (c *cluster) replyConflict(s *submission) {
	for _, r := range c.running {
		if r.key == s.request.key {
			c.reply(s, reply{kind: keys.Run})
			return
		}
	}
	c.reply(s, reply{kind: keys.Conflict})
}

// finish ends a running request and replies to its waiting submissions, some of which
// may have been abandoned.
func (c *cluster) finish() {
	if len(c.running) == 0 {
		return
	}
	i := c.rng.IntN(len(c.running))
	r := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	v, out := verdict.Ran, reply{keys.Answered, r.content}
	if c.rng.IntN(4) == 0 {
		v, out = verdict.NotRun, reply{kind: keys.Run}
	} else {
		c.runCounts[r.key]++
	}
	c.tables[c.issuerOf[r.key]].Finish(c.now, c.issued[r.key].Serial, v, r.content, 1)
	for _, s := range r.waiting {
		c.reply(s, out)
	}
}

// abandon makes clients give up on a request, as after a lost answer or when their
// entry has died or is paused. Copies on the network still arrive.
func (c *cluster) abandon() {
	if len(c.network) > 0 {
		c.reply(c.network[c.rng.IntN(len(c.network))].submission, reply{kind: keys.Uncertain})
	}
	if len(c.running) > 0 {
		r := c.running[c.rng.IntN(len(c.running))]
		c.reply(r.waiting[c.rng.IntN(len(r.waiting))], reply{kind: keys.Uncertain})
	}
}

// restart replaces an issuer with a new incarnation. Requests that were running there
// count as run.
func (c *cluster) restart() {
	i := c.rng.IntN(len(c.tables))
	c.tables[i] = keys.New[byte](tableConfig(msg.Incarnation(100 + c.step)))
	c.running = slices.DeleteFunc(c.running, func(r run) bool {
		if c.issuerOf[r.key] != i {
			return false
		}
		c.runCounts[r.key]++
		for _, s := range r.waiting {
			c.reply(s, reply{kind: keys.Uncertain})
		}
		return true
	})
}

// Guards against answers under one key that no single run can explain, when forwarded
// requests are lost, late or duplicated, clients resubmit concurrently and issuers
// restart.
func TestKeyedHistoriesAreLinearizable(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(40) {
		cl := newCluster(seed)
		for cl.step = 1; cl.step < 300; cl.step++ {
			cl.now = cl.now.Add(10 * time.Millisecond)
			switch n := cl.rng.IntN(100); {
			case n < 40:
				cl.submit()
			case n < 75:
				cl.deliver()
			case n < 90:
				cl.finish()
			case n < 99 || seed%2 == 0:
				cl.abandon()
			default:
				cl.restart()
			}
		}
		for key, n := range cl.runCounts {
			c.Assert(n <= 1, qt.IsTrue, qt.Commentf("seed %d: key %d ran %d times", seed, key, n))
		}
		// A request without an answer may take effect until the end.
		for _, s := range cl.unanswered() {
			cl.reply(s, reply{kind: keys.Uncertain})
		}
		c.Assert(porcupine.CheckOperations(keyedModel, cl.historyWithOpenEnds()), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

func (c *cluster) unanswered() []*submission {
	var all []*submission
	for _, f := range c.network {
		all = append(all, f.submission)
	}
	for _, r := range c.running {
		all = append(all, r.waiting...)
	}
	return all
}

// historyWithOpenEnds returns the history in which a request with an unknown outcome
// can take effect until the end, since its copies may arrive late.
func (c *cluster) historyWithOpenEnds() []porcupine.Operation {
	history := slices.Clone(c.history)
	for i := range history {
		if history[i].Output.(reply).kind == keys.Uncertain {
			history[i].Return = c.step + 1
			history[i].ClientId = 100 + i
		}
	}
	return history
}
