package entryd

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// Authenticator reports whether a bearer token belongs to a client account. It must be
// safe for concurrent use.
type Authenticator interface {
	Authenticate(account, token string) bool
}

type allowAll struct{}

func (allowAll) Authenticate(string, string) bool { return true }

// Tokens checks bearer tokens against the token hashes in the operators' table. An
// account whose row has no hash is refused, and the zero value refuses everyone. Tokens
// are long random strings, so an unsalted digest is enough.
type Tokens struct {
	mu       sync.RWMutex
	revision uint64
	accounts map[string]entry.AccountPolicy
}

// HashToken returns the digest of a token in the form that the table holds.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// setPolicy replaces the accounts by those of a newer revision. It ignores older ones.
func (t *Tokens) setPolicy(p entry.Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Revision > t.revision {
		t.revision, t.accounts = p.Revision, p.Accounts
	}
}

// Authenticate implements Authenticator. It refuses everyone while no revision is in
// force. After that, an unknown account passes, so that the core refuses it with its
// own reason.
func (t *Tokens) Authenticate(account, token string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.revision == 0 {
		return false
	}
	policy, known := t.accounts[account]
	want := policy.TokenSHA256
	return !known || want != "" && subtle.ConstantTimeCompare([]byte(want), []byte(HashToken(token))) == 1
}

// bearerToken returns the token of the Authorization header, or "".
func bearerToken(h http.Header) string {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
