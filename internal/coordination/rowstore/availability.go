package rowstore

import (
	"errors"
	"sync"
)

// Availability records whether the store responds to an instance's regular
// calls. Followers use it to abandon calls on connections that may be dead, and
// to choose how often to retry.
//
// Locks: Availability.mu is a leaf.
type Availability struct {
	mu          sync.Mutex
	unavailable bool
	changed     chan struct{}
}

// NewAvailability returns an Availability that reports the store as available.
func NewAvailability() *Availability {
	return &Availability{changed: make(chan struct{})}
}

// Record updates the availability by the result of a regular call. ErrConflict
// counts as a response of the store.
func (a *Availability) Record(err error) {
	unavailable := err != nil && !errors.Is(err, ErrConflict)
	a.mu.Lock()
	defer a.mu.Unlock()
	if unavailable == a.unavailable {
		return
	}
	a.unavailable = unavailable
	close(a.changed)
	a.changed = make(chan struct{})
}

// status returns whether the store is unavailable, and a channel that is closed
// when that changes.
func (a *Availability) status() (unavailable bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unavailable, a.changed
}
