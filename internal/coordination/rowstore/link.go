package rowstore

import (
	"errors"
	"sync"
)

// Link tells whether the store answers an instance's regular calls. Followers
// learn from it that their connections may be dead, and how often to try.
//
// Locks: Link.mu is a leaf.
type Link struct {
	mu      sync.Mutex
	lost    bool
	changed chan struct{}
}

// NewLink returns a link that counts as working.
func NewLink() *Link {
	return &Link{changed: make(chan struct{})}
}

// Note takes in the result of a regular call. A call whose conditions failed
// was answered.
func (l *Link) Note(err error) {
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
func (l *Link) state() (lost bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost, l.changed
}
