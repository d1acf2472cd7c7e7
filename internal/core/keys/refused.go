package keys

import "time"

// SubmissionID identifies one submission of a request that is forwarded between
// entries. The zero value means no submission.
type SubmissionID [16]byte

// refusedSet records submissions that were answered with NotRun, so that a late copy
// of one does not run after all.
type refusedSet struct {
	ids   map[SubmissionID]struct{}
	order []refusal
}

type refusal struct {
	id SubmissionID
	at time.Time
}

func (s *refusedSet) add(now time.Time, id SubmissionID) {
	if _, known := s.ids[id]; known || id == (SubmissionID{}) {
		return
	}
	s.ids[id] = struct{}{}
	s.order = append(s.order, refusal{id, now})
}

func (s *refusedSet) has(id SubmissionID) bool {
	_, ok := s.ids[id]
	return ok
}

// expire removes submissions refused before the given time, and the oldest ones
// beyond the limit.
func (s *refusedSet) expire(before time.Time, limit int) {
	for len(s.order) > 0 && (len(s.order) > limit || s.order[0].at.Before(before)) {
		delete(s.ids, s.order[0].id)
		s.order = s.order[1:]
	}
}
