// Package keys implements idempotency keys at the entry that issues them. It issues
// keys, decides which request runs under a key and which requests join it, and keeps
// the answers for a limited time.
//
// The package does no I/O and reads no clock; the time is an argument. Its
// types are not safe for concurrent use.
package keys

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// version is the first part of a key's text; a change of the format requires a new
	// value.
	version = "pk1"
	// macSize is the size of a key's message authentication code in bytes. Guessing one
	// of 2^64 codes through the callers' interface is infeasible.
	macSize = 8
	// maxTextBytes is the largest size of a key's text.
	maxTextBytes = 200
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("keys")

// ErrMalformed means that a text is not in the form of an issued key.
var ErrMalformed = Errors.NewType("malformed")

// Key identifies a request that runs at most once. Address is where the issuing
// entry listens.
type Key struct {
	Address     string
	Incarnation msg.Incarnation
	Serial      uint64
	mac         [macSize]byte
}

// String returns the text that callers receive and send back.
func (k Key) String() string {
	return strings.Join([]string{
		version, k.Address, strconv.FormatUint(uint64(k.Incarnation), 16),
		strconv.FormatUint(k.Serial, 16), hex.EncodeToString(k.mac[:]),
	}, "/")
}

// Parse parses a key's text. Only the exact text that String returns is valid; the
// authentication code is not verified.
func Parse(text string) (Key, error) {
	if len(text) > maxTextBytes {
		return Key{}, ErrMalformed.New("the key has %d bytes", len(text))
	}
	parts := strings.Split(text, "/")
	if len(parts) != 5 || parts[0] != version || parts[1] == "" {
		return Key{}, ErrMalformed.New("the key has not the form of an issued key")
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Key{}, ErrMalformed.Wrap(err, "the key's incarnation is malformed")
	}
	serial, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return Key{}, ErrMalformed.Wrap(err, "the key's serial number is malformed")
	}
	k := Key{Address: parts[1], Incarnation: msg.Incarnation(incarnation), Serial: serial}
	if len(parts[4]) != 2*macSize {
		return Key{}, ErrMalformed.New("the key's authentication code has the wrong size")
	}
	if _, err := hex.Decode(k.mac[:], []byte(parts[4])); err != nil {
		return Key{}, ErrMalformed.Wrap(err, "the key's authentication code is malformed")
	}
	if k.String() != text {
		return Key{}, ErrMalformed.New("the key is not in its canonical form")
	}
	return k, nil
}

// authenticate returns the message authentication code that binds a serial number to
// an account, so that no caller can use, or use up, a key issued to another account.
func authenticate(secret []byte, account string, serial uint64) (mac [macSize]byte) {
	h := hmac.New(sha256.New, secret)
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], serial)
	h.Write(number[:])
	h.Write([]byte(account))
	copy(mac[:], h.Sum(nil))
	return mac
}
