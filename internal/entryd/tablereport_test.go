package entryd

import (
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// Guards against values that are not in force without a trace, against a line for each of
// thousands, and against a report that outlives its revision.
func TestUnappliedValuesAreReported(t *testing.T) {
	c := qt.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	p := NewPlatform(PlatformConfig{Log: zap.New(core)})
	p.applyBuffered()
	p.applyIfNewer(tablestore.Content{Revision: 3, CSV: []byte("kind,name,weight,region\naccount,atlas,many,north\n")})
	unapplied := lines.FilterMessage(logevent.ValueUnapplied.Message).AllUntimed()
	last := unapplied[len(unapplied)-1].ContextMap()
	c.Check(last["row"], qt.Equals, "account atlas")
	c.Check(last["column"], qt.Equals, "weight")
	c.Check(last["value"], qt.Equals, "many")
	c.Check(last["effect"], qt.Equals, "ignored")
	c.Check(p.tableReport().unapplied, qt.Equals, len(unapplied))

	content := tableHeader
	for i := range 5000 {
		content += fmt.Sprintf("account,a%d,,,%s%d,,,,,,\n", i, strings.Repeat("é", 300), i)
	}
	p.applyIfNewer(tablestore.Content{Revision: 4, CSV: []byte(content)})
	c.Check(p.Revision(), qt.Equals, uint64(4))
	report := p.tableReport()
	c.Check(report.unapplied, qt.Equals, 5000)
	c.Check(report.listed, qt.HasLen, maxReportedValues)
	c.Check(lines.FilterMessage(logevent.ValueUnapplied.Message).Len(), qt.Equals, len(unapplied)+maxReportedValues)
	for _, u := range encodeUnapplied(report.listed) {
		c.Check(len(u.Value) <= maxReportedBytes && utf8.ValidString(u.Value), qt.IsTrue)
	}

	p.applyIfNewer(tablestore.Content{Revision: 5, CSV: []byte("unheard\n")})
	c.Check(p.tableReport().rejected, qt.Matches, "(?s).*revision 5.*")
	c.Check(p.Revision(), qt.Equals, uint64(4))
	p.applyIfNewer(tablestore.Content{Revision: 6, CSV: []byte(tableHeader)})
	report = p.tableReport()
	c.Check(report.unapplied, qt.Equals, 0)
	c.Check(report.listed, qt.HasLen, 0)
	c.Check(report.rejected, qt.Equals, "")
}

// Guards against text that no message between processes can carry.
func TestShorten(t *testing.T) {
	for _, s := range []string{"", "a", strings.Repeat("é", 100), strings.Repeat("é", 101), "a" + strings.Repeat("漢", 400), "\xff\xfe", strings.Repeat("\xc3", 500)} {
		short := shorten(s)
		qt.Check(t, utf8.ValidString(short), qt.IsTrue, qt.Commentf("%q", s))
		qt.Check(t, len(short) <= maxReportedBytes, qt.IsTrue, qt.Commentf("%q", s))
	}
	qt.Check(t, shorten(strings.Repeat("é", 100)), qt.Equals, strings.Repeat("é", 100))
}
