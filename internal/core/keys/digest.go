package keys

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is a SHA-256 hash of the content of a request.
type Digest [sha256.Size]byte

// Content returns the digest of the given parts. The length of each part is hashed
// before it, so moving a byte from one part to the next changes the digest.
func Content(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	var d Digest
	h.Sum(d[:0])
	return d
}
