package entryd

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/membership"
)

var errorNamespace = errorx.NewNamespace("entryd")

// ErrDuplicateEntry says that a live process that started earlier uses the
// entry's name.
var ErrDuplicateEntry = errorNamespace.NewType("duplicate_entry")

// duplicateStopWindow is how long after its start an entry gives way to an elder one of
// the same name. Later it stays, since it has work; both then report it.
const duplicateStopWindow = time.Minute

// reportOlderDuplicate tells the daemon once about an elder process. The lock is held.
func (p *Platform) reportOlderDuplicate(now time.Time) {
	older, found := p.members.Elder(now)
	if !found || now.Sub(p.cfg.Self.Started) >= duplicateStopWindow {
		return
	}
	select {
	case p.olderDuplicate <- older:
	default:
	}
}

// olderDuplicate returns the channel on which an olderDuplicate process is reported, nil without
// a platform.
func (d *Daemon) olderDuplicate() <-chan membership.Member {
	if d.platform == nil {
		return nil
	}
	return d.platform.olderDuplicate
}
