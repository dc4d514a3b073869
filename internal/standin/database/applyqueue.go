package database

import (
	"context"
	"sync"
	"time"
)

// queuedEntry is a received entry that waits until the replication lag has passed
// since its arrival.
type queuedEntry struct {
	entry   Entry
	arrived time.Time
}

// applyQueue holds received entries in order. It is unbounded, so that a long
// lag does not delay reading the heartbeats that arrive behind the entries.
type applyQueue struct {
	mu      sync.Mutex // protects entries
	entries []queuedEntry
	arrival chan struct{} // capacity 1; holds a token when entries may be queued
}

func newApplyQueue() *applyQueue {
	return &applyQueue{arrival: make(chan struct{}, 1)}
}

func (q *applyQueue) push(entry Entry) {
	q.mu.Lock()
	q.entries = append(q.entries, queuedEntry{entry: entry, arrived: time.Now()})
	q.mu.Unlock()
	select {
	case q.arrival <- struct{}{}:
	default:
	}
}

// peek waits for the first entry and returns it without removing it.
func (q *applyQueue) peek(ctx context.Context) (queuedEntry, bool) {
	for {
		q.mu.Lock()
		if len(q.entries) > 0 {
			first := q.entries[0]
			q.mu.Unlock()
			return first, ctx.Err() == nil
		}
		q.mu.Unlock()
		select {
		case <-q.arrival:
		case <-ctx.Done():
			return queuedEntry{}, false
		}
	}
}

// removeFirst removes the first entry.
func (q *applyQueue) removeFirst() {
	q.mu.Lock()
	q.entries = q.entries[1:]
	q.mu.Unlock()
}

// pause sleeps for duration. It reports false if ctx ended first.
func pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
