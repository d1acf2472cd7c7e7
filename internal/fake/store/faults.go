package store

import (
	"context"
	"maps"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Down makes every call fail as unavailable.
	Down bool `json:"down"`
	// Delay delays every call; it is in nanoseconds in JSON.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of coming writes that take effect but whose answer
	// is lost.
	LoseAnswers int `json:"lose_answers"`
	// MissEvents hides changes from watches.
	MissEvents bool `json:"miss_events"`
	// OldData makes reads and watches return the state at the time when it was
	// switched on, or at an earlier call of Remember.
	OldData bool `json:"old_data"`
}

// Counts are the numbers of calls since the start or the last ResetCounts.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused is the number of calls refused by the rate limits.
	Refused int `json:"refused"`
	// Waiting is the number of watches that are waiting.
	Waiting int `json:"waiting"`
	// PeakReads and PeakWrites are the largest numbers of calls within a second.
	// PeakReads includes waiting watches.
	PeakReads  int `json:"peak_reads"`
	PeakWrites int `json:"peak_writes"`
}

// window counts the calls of the current second and the waiting watches.
type window struct {
	start         time.Time
	reads, writes int
	waiting       int
}

type callKind uint8

const (
	readCall callKind = iota
	writeCall
)

// SetFaults replaces the faults and wakes waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.OldData && s.stale == nil {
		s.saveStale()
	}
	if !f.OldData {
		s.stale = nil
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Remember saves the current state as the data that reads return when OldData is
// switched on next. Faults without OldData discard it.
func (s *Store) Remember() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saveStale()
}

func (s *Store) saveStale() { s.stale, s.staleVersion = maps.Clone(s.items), s.version }

// ResetCounts resets the counts to zero.
func (s *Store) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counts{}
}

// Faults returns the faults that are switched on.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Waiting = s.rateWindow.waiting
	return c
}

// view returns the items and the store version that reads see.
func (s *Store) view() (map[string]item, uint64) {
	if s.faults.OldData {
		return s.stale, s.staleVersion
	}
	return s.items, s.version
}

// beginCall applies the delay, the rate limits and the Down fault to a call. On
// success it returns with the lock held.
func (s *Store) beginCall(ctx context.Context, kind callKind) error {
	if err := s.applyDelay(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	if err := s.countCall(kind); err != nil {
		s.mu.Unlock()
		return err
	}
	if s.faults.Down {
		s.mu.Unlock()
		return store.ErrUnavailable.New("the store is down")
	}
	return nil
}

func (s *Store) applyDelay(ctx context.Context) error {
	wait := s.Faults().Delay
	if wait == 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable.Wrap(ctx.Err(), "the call was cancelled")
	}
}

func (s *Store) countCall(kind callKind) error {
	w := &s.rateWindow
	if now := time.Now(); now.Sub(w.start) >= time.Second {
		w.start, w.reads, w.writes = now, 0, 0
	}
	if kind == writeCall {
		s.counts.Writes++
		w.writes++
	} else {
		s.counts.Reads++
		w.reads++
	}
	s.counts.PeakWrites = max(s.counts.PeakWrites, w.writes)
	s.counts.PeakReads = max(s.counts.PeakReads, w.reads+w.waiting)
	if w.writes > s.rates.Writes || w.reads+w.waiting > s.rates.Reads {
		s.counts.Refused++
		return store.ErrUnavailable.New("the store's rate limit is exceeded")
	}
	return nil
}

// loseAnswer returns ErrOutcomeUnknown for a write that has taken effect while
// LoseAnswers is above zero, and decrements it.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return store.ErrOutcomeUnknown.New("the answer was lost")
}
