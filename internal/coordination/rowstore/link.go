package rowstore

import (
	"errors"
	"sync"
)

// Availability tells whether the store answers an instance's regular calls. Followers
// learn from it that their connections may be dead, and how often to try.
//
// Locks: Availability.mu is a leaf.
type Availability struct {
	mu      sync.Mutex
	lost    bool
	changed chan struct{}
}

// NewAvailability returns a link that counts as working.
func NewAvailability() *Availability {
	return &Availability{changed: make(chan struct{})}
}

// Record takes in the result of a regular call. A call whose conditions failed
// was answered.
func (l *Availability) Record(err error) {
	lost := err != nil && !errors.Is(err, ErrConflict)
	l.mu.Lock()
	defer l.mu.Unlock()
	if lost == l.lost {
		return
	}
	l.lost = lost
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns whether the link is lost, and a channel that is closed when
// that changes.
func (l *Availability) state() (lost bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost, l.changed
}
