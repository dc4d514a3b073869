package peerproto

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// MinKeyBytes is the least length of a shared key, in bytes.
const MinKeyBytes = 16

// ErrNoKeys says that the list of shared keys is empty.
var ErrNoKeys = errors.New("no shared key for peers")

// KeyRing holds the keys that all instances share. The first signs; any is
// accepted. To rotate: append the new key everywhere, then move it to the
// front everywhere, then remove the old one. Safe for concurrent use.
type KeyRing struct {
	keys atomic.Pointer[[][]byte]
}

// NewKeyRing returns a ring of the given keys, or an error as Set does.
func NewKeyRing(keys ...[]byte) (*KeyRing, error) {
	ring := &KeyRing{}
	if err := ring.Set(keys...); err != nil {
		return nil, err
	}
	return ring, nil
}

// Set replaces the keys. It refuses an empty list and keys that are shorter
// than MinKeyBytes; the ring is then unchanged. Handshakes in progress end
// with the keys with which they started.
func (r *KeyRing) Set(keys ...[]byte) error {
	if len(keys) == 0 {
		return ErrNoKeys
	}
	copied := make([][]byte, 0, len(keys))
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return eris.Errorf("shared key %d has %d bytes, want at least %d", i+1, len(key), MinKeyBytes)
		}
		copied = append(copied, append([]byte(nil), key...))
	}
	r.keys.Store(&copied)
	return nil
}

// String hides the keys from logs and dumps.
func (r *KeyRing) String() string {
	return "KeyRing(redacted)"
}

func (r *KeyRing) snapshot() [][]byte {
	keys := r.keys.Load()
	if keys == nil {
		return nil
	}
	return *keys
}

func sign(key, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(transcript)
	return mac.Sum(nil)
}

// verify reports whether any key signs the transcript with signature.
func verify(keys [][]byte, transcript, signature []byte) bool {
	valid := false
	for _, key := range keys {
		if hmac.Equal(sign(key, transcript), signature) {
			valid = true
		}
	}
	return valid
}
