package membership

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/hostport"
	"github.com/poplarlever/poplarlever/internal/store"
)

// ErrMalformed is the type of the errors of members that no entry can have written.
var ErrMalformed = errorx.NewNamespace("membership").NewType("malformed")

// Key returns the store key of the member below the prefix. It contains the incarnation,
// so that two processes with one name do not overwrite each other.
func Key(prefix string, m Member) string {
	return fmt.Sprintf("%s%s/%016x", prefix, m.Name, m.Incarnation)
}

// Decode returns the member that the store lists below the prefix. It returns ErrMalformed
// for a value that cannot be decoded, is not valid or lies at another key than its own,
// which may come from another writer.
func Decode(prefix string, e store.Entry) (Member, error) {
	var m Member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return Member{}, ErrMalformed.Wrap(err, "%s cannot be decoded", e.Key)
	}
	if err := m.Validate(); err != nil {
		return Member{}, err
	}
	if e.Key != Key(prefix, m) {
		return Member{}, ErrMalformed.New("%s holds the entry %s", e.Key, Key(prefix, m))
	}
	return m, nil
}

// latestStart is the end of the times that entries can tell each other, in nanoseconds
// since 1970.
var latestStart = time.Unix(0, 1<<63-1)

// Validate returns ErrMalformed for a member that no entry can be.
func (m Member) Validate() error {
	switch {
	case m.Name == "" || m.Incarnation == 0:
		return ErrMalformed.New("a member has no name or incarnation")
	case m.Started.Unix() <= 0 || m.Started.After(latestStart):
		return ErrMalformed.New("member %q started at %s", m.Name, m.Started)
	}
	if err := hostport.Check(m.Address); err != nil {
		return ErrMalformed.Wrap(err, "member %q cannot be reached", m.Name)
	}
	return nil
}
