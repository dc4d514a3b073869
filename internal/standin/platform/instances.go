package platform

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// instanceList is the platform's list of instances. Each change shows only
// after a lag. It is not safe for concurrent use; Server.mu protects it.
type instanceList struct {
	lag     time.Duration
	visible map[state.InstanceID]state.Instance
	pending []instanceChange
}

// instanceChange is an announcement, or with left set the removal of one run
// of an instance.
type instanceChange struct {
	instance state.Instance
	left     bool
	showAt   time.Time
}

func newInstanceList() *instanceList {
	return &instanceList{visible: make(map[state.InstanceID]state.Instance)}
}

func (l *instanceList) change(instance state.Instance, left bool, now time.Time) {
	l.pending = append(l.pending, instanceChange{instance: instance, left: left, showAt: now.Add(l.lag)})
}

// list returns what the platform shows at now, sorted by id.
func (l *instanceList) list(now time.Time) []state.Instance {
	later := l.pending[:0]
	for _, change := range l.pending {
		if change.showAt.After(now) {
			later = append(later, change)
			continue
		}
		l.show(change)
	}
	l.pending = later
	return sortedInstances(l.visible)
}

func (l *instanceList) show(change instanceChange) {
	id := change.instance.ID
	held, known := l.visible[id]
	if known && held.Incarnation > change.instance.Incarnation {
		return
	}
	if change.left {
		delete(l.visible, id)
		return
	}
	l.visible[id] = change.instance
}
