package membership

import "time"

// Elder returns a live process that has this process's name and started earlier.
func (l *List) Elder(now time.Time) (Member, bool) {
	for _, r := range l.records {
		if r.member.Name == l.self.Name && r.member.Started.Before(l.self.Started) && l.isLive(now, r) {
			return r.member, true
		}
	}
	return Member{}, false
}
