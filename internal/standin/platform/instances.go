package platform

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// instanceList is the platform's list of instances. Each change becomes visible
// after a lag. It is not safe for concurrent use; Server.mu protects it.
type instanceList struct {
	lag     time.Duration
	visible map[state.InstanceID]state.Instance
	pending []instanceChange
}

// instanceChange is the announcement of an incarnation of an instance or, if
// removed is set, its removal.
type instanceChange struct {
	instance  state.Instance
	removed   bool
	visibleAt time.Time
}

func newInstanceList() *instanceList {
	return &instanceList{visible: make(map[state.InstanceID]state.Instance)}
}

// addChange records a change that becomes visible after the lag.
func (l *instanceList) addChange(instance state.Instance, removed bool, now time.Time) {
	l.pending = append(l.pending, instanceChange{instance: instance, removed: removed, visibleAt: now.Add(l.lag)})
}

// list returns the instances that are visible at now, sorted by id.
func (l *instanceList) list(now time.Time) []state.Instance {
	pending := l.pending[:0]
	for _, change := range l.pending {
		if change.visibleAt.After(now) {
			pending = append(pending, change)
			continue
		}
		l.apply(change)
	}
	l.pending = pending
	return sortedInstances(l.visible)
}

// apply makes a change visible, unless a newer incarnation of the instance is
// already visible.
func (l *instanceList) apply(change instanceChange) {
	id := change.instance.ID
	current, found := l.visible[id]
	if found && current.Incarnation > change.instance.Incarnation {
		return
	}
	if change.removed {
		delete(l.visible, id)
		return
	}
	l.visible[id] = change.instance
}
