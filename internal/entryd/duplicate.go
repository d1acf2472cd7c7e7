package entryd

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/membership"
)

var errorNamespace = errorx.NewNamespace("entryd")

// ErrDuplicateEntry is the error type of an entry whose name is used by a live process
// that started earlier.
var ErrDuplicateEntry = errorNamespace.NewType("duplicate_entry")

// duplicateStopWindow is how long after its start an entry stops because an older
// process has the same name. Later it keeps running, because it has work, and both
// processes report the duplicate.
const duplicateStopWindow = time.Minute

// olderAskInterval is the shortest time between two questions to an older process of the
// same name.
const olderAskInterval = time.Second

// reportOlderDuplicate passes an older process of the same name to the daemon, which
// stops. The process has to have answered: a value in the store may come from another
// writer, and would end this process at each start. p.mu must be held.
func (p *Platform) reportOlderDuplicate(now time.Time) {
	older, found := p.members.Elder(now)
	if !found || now.Sub(p.cfg.Self.Started) >= duplicateStopWindow {
		return
	}
	if !p.members.Contacted(now, older) {
		if now.Sub(p.olderAskedAt) >= olderAskInterval {
			p.olderAskedAt = now
			go p.exchangeWith(context.Background(), older.Address, false)
		}
		return
	}
	select {
	case p.olderDuplicate <- older:
	default:
	}
}

// olderDuplicate returns the channel on which an older process of the same name is
// reported, or nil without a platform.
func (d *Daemon) olderDuplicate() <-chan membership.Member {
	if d.platform == nil {
		return nil
	}
	return d.platform.olderDuplicate
}
