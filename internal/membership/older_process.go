package membership

import "time"

// Contacted reports whether messages were exchanged with the process within LeaseTTL.
func (l *List) Contacted(now time.Time, m Member) bool {
	r := l.records[memberKey{m.Name, m.Incarnation}]
	return r != nil && now.Sub(r.lastContact) < LeaseTTL
}

// Elder returns a live process that has this process's name and started earlier.
func (l *List) Elder(now time.Time) (Member, bool) {
	for _, r := range l.records {
		if r.member.Name == l.self.Name && r.member.Started.Before(l.self.Started) && l.isLive(now, r) {
			return r.member, true
		}
	}
	return Member{}, false
}
