package tablestore_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// Guards against a history in the form of a newer program that keeps its table out of force
// at older ones, and against a value whose revision is guessed.
func TestContentNeedsOnlyTableAndRevision(t *testing.T) {
	for value, want := range map[string]uint64{
		`{"csv":"x","history":[{"revision":7}]}`: 7,
		`{"csv":"x","history":[{"revision":7,"who":{"name":"aya"},"when":"noon","undo":{"rows":[]},"note":5},{"revision":"six"},7]}`: 7,
		`{"csv":"x","format":2,"history":[{"revision":7}],"index":[1]}`:                                                              7,
		`{"csv":"x","history":[{"revision":"seven"}]}`:                                                                               0,
		`{"csv":"x","history":[{"revision":-7}]}`:                                                                                    0,
		`{"csv":"x","history":[]}`:                                                                                                   0,
		`{"csv":"x"}`:                                                                                                                0,
		`{"csv":7,"history":[{"revision":7}]}`:                                                                                       0,
		`{"csv":"x","history":{}}`:                                                                                                   0,
		`{`:                                                                                                                          0,
		`null`:                                                                                                                       0,
	} {
		content, err := tablestore.ContentOf([]byte(value))
		qt.Check(t, content.Revision, qt.Equals, want, qt.Commentf("%s", value))
		qt.Check(t, err == nil, qt.Equals, want > 0, qt.Commentf("%s", value))
	}
}

// Guards against a program that would write back a table without what a newer one added.
func TestOlderProgramDoesNotEditNewerTable(t *testing.T) {
	value, err := json.Marshal(tablestore.Document{CSV: "kind,name,burst\naccount,atlas,7\n", History: []tablestore.Revision{{Number: 7}}})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = tablestore.Decode(value)
	qt.Check(t, err, qt.ErrorMatches, `(?s).*burst.*`)
}
