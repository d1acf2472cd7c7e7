package entryd

import (
	"strings"
	"unicode/utf8"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/table"
	"github.com/poplarlever/poplarlever/internal/logevent"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

const (
	// maxReportedValues is the number of unapplied values of a revision that are logged and
	// shown.
	maxReportedValues = 20
	// maxReportedBytes bounds each text of an unapplied value, in bytes.
	maxReportedBytes = 200
)

// tableReport says what of the newest table is not in force.
type tableReport struct {
	// unapplied is the number of values of the revision in force that cannot be applied as
	// they are written, and listed holds the first of them.
	unapplied int
	listed    []table.Unapplied
	// rejected says why the newest table is not in force at all; empty if it is.
	rejected string
}

// tableReport returns what of the newest table is not in force. The caller must not change
// the list.
func (p *Platform) tableReport() tableReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.inForce.Unapplied()
	return tableReport{unapplied: len(all), listed: all[:min(len(all), maxReportedValues)], rejected: p.rejected}
}

// tableReport is like that of the platform, and empty without one.
func (d *Daemon) tableReport() tableReport {
	if d.platform == nil {
		return tableReport{}
	}
	return d.platform.tableReport()
}

// logUnapplied logs the first unapplied values of the revision. p.mu must be held.
func (p *Platform) logUnapplied(revision uint64) {
	all := p.inForce.Unapplied()
	for _, u := range all[:min(len(all), maxReportedValues)] {
		logevent.ValueUnapplied.Log(p.cfg.Log, zap.Uint64("revision", revision), zap.String("row", shorten(u.Row)),
			zap.String("column", shorten(u.Column)), zap.String("value", shorten(u.Value)), zap.Stringer("effect", u.Effect), zap.String("in_force", shorten(u.InForce)))
	}
}

// reportRejected reports content that is no table. p.mu must be held.
func (p *Platform) reportRejected(revision uint64, err error) {
	p.rejected = shorten(err.Error())
	logevent.RevisionRejected.Log(p.cfg.Log, zap.Uint64("revision", revision), zap.String("error", err.Error()))
	if p.cfg.Hooks.Rejected != nil {
		p.cfg.Hooks.Rejected(revision)
	}
}

// shorten returns the text in valid UTF-8 and not above maxReportedBytes.
func shorten(s string) string {
	const ellipsis = "..."
	s = strings.ToValidUTF8(s, string(utf8.RuneError))
	if len(s) <= maxReportedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxReportedBytes-len(ellipsis)], "") + ellipsis
}

func encodeUnapplied(values []table.Unapplied) []*pb.UnappliedValue {
	out := make([]*pb.UnappliedValue, len(values))
	for i, u := range values {
		out[i] = &pb.UnappliedValue{
			Row: shorten(u.Row), Column: shorten(u.Column), Value: shorten(u.Value), Effect: u.Effect.String(), InForce: shorten(u.InForce),
		}
	}
	return out
}
