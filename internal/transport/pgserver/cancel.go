package pgserver

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// CancelKey is the key that a client receives in BackendKeyData and sends in a
// cancel request. The upper half of the process id is a hash of the instance's
// id. The load balancer may send a cancel request to any instance, which then
// forwards it to the few instances with that hash.
type CancelKey struct {
	ProcessID uint32 `msgpack:"p"`
	Secret    uint32 `msgpack:"s"`
}

// InstanceHash returns the upper half of the process ids of an instance's
// sessions.
func InstanceHash(id state.InstanceID) uint16 {
	return uint16(xxhash.Sum64String(string(id)))
}

// InstanceHash returns the hash of the instance that issued the key.
func (k CancelKey) InstanceHash() uint16 {
	return uint16(k.ProcessID >> 16)
}

// cancelRegistry finds connections by their cancel key. Its mutex is a leaf
// lock.
type cancelRegistry struct {
	prefix uint32

	mu    sync.Mutex
	next  uint16
	conns map[uint32]*conn
}

func newCancelRegistry(instance state.InstanceID) *cancelRegistry {
	return &cancelRegistry{prefix: uint32(InstanceHash(instance)) << 16, conns: map[uint32]*conn{}}
}

// add registers a connection and returns its key. Once 65,536 connections are
// registered, the key of a further one is not registered, so its requests cannot
// be cancelled.
func (r *cancelRegistry) add(c *conn) CancelKey {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails, see crypto/rand
	key := CancelKey{Secret: binary.BigEndian.Uint32(secret[:])}
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 1 << 16 {
		r.next++
		key.ProcessID = r.prefix | uint32(r.next)
		if _, taken := r.conns[key.ProcessID]; !taken {
			r.conns[key.ProcessID] = c
			return key
		}
	}
	return key
}

func (r *cancelRegistry) remove(key CancelKey, c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[key.ProcessID] == c {
		delete(r.conns, key.ProcessID)
	}
}

// find returns the connection with the key, or nil.
func (r *cancelRegistry) find(key CancelKey) *conn {
	r.mu.Lock()
	c := r.conns[key.ProcessID]
	r.mu.Unlock()
	if c == nil {
		return nil
	}
	var want, got [4]byte
	binary.BigEndian.PutUint32(want[:], c.key.Secret)
	binary.BigEndian.PutUint32(got[:], key.Secret)
	if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return nil
	}
	return c
}

// Cancel cancels the running request of the session with the given key. It
// reports whether this instance holds that session.
func (s *Server) Cancel(ctx context.Context, key CancelKey) bool {
	c := s.cancels.find(key)
	if c == nil {
		return false
	}
	if err := c.session.Cancel(ctx); err != nil {
		s.log.Debug().Err(err).Str("step", "cancel request").Msg("failed to cancel request")
	}
	return true
}
