package keys

import (
	"crypto/hmac"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Config holds the fixed properties of one table.
type Config struct {
	// Address is where other entries reach this one; every key contains it.
	Address     string
	Incarnation msg.Incarnation
	// Secret authenticates keys. It is generated at random when the process starts.
	Secret []byte
	// Lifetime is how long a key can be used after it was issued.
	Lifetime time.Duration
	// MaxKeys is the largest number of issued keys whose lifetime has not ended.
	MaxKeys int
	// KeepAnswers is how long an answer is kept after its request ended.
	KeepAnswers time.Duration
	// MaxAnswers and MaxAnswerBytes bound the kept answers. Beyond them, the oldest
	// answers are dropped before KeepAnswers has passed.
	MaxAnswers     int
	MaxAnswerBytes int
}

// Table holds the keys that one entry incarnation has issued. Only it decides on
// requests with these keys. A is the type of answers.
type Table[A any] struct {
	cfg     Config
	serials serials
	records map[uint64]*record[A]
	// endedSerials holds the serial numbers of kept answers, oldest first.
	endedSerials []uint64
	answerBytes  int
	refused      refusedSet
}

// record is a request that is running or whose answer is kept.
type record[A any] struct {
	digest Digest
	// submissions are the ones that started or joined the request; cleared at its end.
	submissions []SubmissionID
	ended       bool
	endedAt     time.Time
	answer      A
	size        int
}

// New returns a table that has issued no keys.
func New[A any](cfg Config) *Table[A] {
	return &Table[A]{cfg: cfg, records: make(map[uint64]*record[A]), refused: refusedSet{ids: make(map[SubmissionID]struct{})}}
}

// Issue returns count new keys for the account, or none when that would exceed
// MaxKeys.
func (t *Table[A]) Issue(now time.Time, account string, count int) []Key {
	t.Expire(now)
	if t.trackedKeys()+count > t.cfg.MaxKeys {
		return nil
	}
	issued := make([]Key, count)
	for i := range issued {
		serial := t.serials.issue(now)
		issued[i] = Key{
			Address: t.cfg.Address, Incarnation: t.cfg.Incarnation, Serial: serial,
			mac: authenticate(t.cfg.Secret, account, serial),
		}
	}
	return issued
}

func (t *Table[A]) trackedKeys() int { return int(t.serials.next - t.serials.firstPage*pageSize) }

// Decision is the result of a Claim.
type Decision uint8

const (
	// Run means that the caller has to run the request now and then call Finish.
	Run Decision = iota + 1
	// Join means that a request with this key and content is running.
	Join
	// Answered means that a request with this key and content has ended and its
	// answer is kept.
	Answered
	// Dropped means that a request with this key ran and its answer is no longer
	// kept. Its content is no longer known either.
	Dropped
	// Uncertain means that it is unknown whether a request with this key ran.
	Uncertain
	// Conflict means that the key was used with different content.
	Conflict
	// NotIssued means that the key was not issued to the account.
	NotIssued
	// Repeated means that the same submission was answered with NotRun before.
	Repeated
)

// Claim decides what to do with a request. The answer is set only for Answered.
func (t *Table[A]) Claim(now time.Time, key Key, account string, content Digest, submission SubmissionID) (Decision, A) {
	var none A
	t.Expire(now)
	if key.Incarnation != t.cfg.Incarnation {
		return Uncertain, none
	}
	if !t.isAuthentic(key, account) {
		return NotIssued, none
	}
	if r, ok := t.records[key.Serial]; ok {
		return t.claimExisting(now, r, content, submission)
	}
	if t.refused.has(submission) {
		return Repeated, none
	}
	if !t.serials.tracks(key.Serial) {
		return Uncertain, none
	}
	if used, uncertain := t.serials.state(key.Serial); uncertain {
		return Uncertain, none
	} else if used {
		return Dropped, none
	}
	t.records[key.Serial] = &record[A]{digest: content, submissions: []SubmissionID{submission}}
	return Run, none
}

func (t *Table[A]) isAuthentic(key Key, account string) bool {
	mac := authenticate(t.cfg.Secret, account, key.Serial)
	return key.Serial < t.serials.next && key.Address == t.cfg.Address && hmac.Equal(mac[:], key.mac[:])
}

// claimExisting decides on a request whose key has a running request or a kept answer.
func (t *Table[A]) claimExisting(now time.Time, r *record[A], content Digest, submission SubmissionID) (Decision, A) {
	var none A
	switch {
	case t.refused.has(submission):
		return Repeated, none
	case r.digest != content:
		t.refused.add(now, submission)
		return Conflict, none
	case r.ended:
		return Answered, r.answer
	}
	r.submissions = append(r.submissions, submission)
	return Join, none
}

// Finish ends the request for which Claim returned Run. After NotRun the key is
// unused again. The size is the memory that the answer uses, in bytes.
func (t *Table[A]) Finish(now time.Time, serial uint64, v verdict.Verdict, answer A, size int) {
	r, ok := t.records[serial]
	if !ok || r.ended {
		return
	}
	if v == verdict.NotRun {
		delete(t.records, serial)
		for _, id := range r.submissions {
			t.refused.add(now, id)
		}
		return
	}
	r.submissions = nil
	t.serials.markUsed(serial, v != verdict.Ran)
	r.ended, r.endedAt, r.answer, r.size = true, now, answer, size
	t.endedSerials = append(t.endedSerials, serial)
	t.answerBytes += size
	t.Expire(now)
}

// Expire drops answers and keys that have expired.
func (t *Table[A]) Expire(now time.Time) {
	for len(t.endedSerials) > 0 && t.mustDrop(now, t.records[t.endedSerials[0]]) {
		t.answerBytes -= t.records[t.endedSerials[0]].size
		delete(t.records, t.endedSerials[0])
		t.endedSerials = t.endedSerials[1:]
	}
	t.refused.expire(now.Add(-t.cfg.KeepAnswers), t.cfg.MaxAnswers)
	t.serials.dropBefore(now.Add(-t.cfg.Lifetime))
}

func (t *Table[A]) mustDrop(now time.Time, oldest *record[A]) bool {
	return now.Sub(oldest.endedAt) >= t.cfg.KeepAnswers || len(t.endedSerials) > t.cfg.MaxAnswers || t.answerBytes > t.cfg.MaxAnswerBytes
}
