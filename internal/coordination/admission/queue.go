package admission

import "time"

// waiter is one request in a queue. The Gate's mutex protects its fields.
type waiter struct {
	plan          *plan
	queue         *queue
	inTransaction bool
	since         time.Time
	// deadline is the time by which the waiter must be granted. callerDeadline
	// is the deadline of the caller's context, if hasCallerDeadline is set.
	deadline          time.Time
	callerDeadline    time.Time
	hasCallerDeadline bool
	next, prev        *waiter

	// done is closed when the waiter has been granted or refused. It is nil
	// unless the caller has to block.
	done  chan struct{}
	lease *Lease
	slot  *Slot
	err   error
}

// settled reports whether the waiter has been granted or refused.
func (w *waiter) settled() bool {
	return w.lease != nil || w.slot != nil || w.err != nil
}

// wake unblocks the caller, if it blocks, once the waiter is settled.
func (w *waiter) wake() {
	if w.done != nil {
		close(w.done)
	}
}

// queue is a first-in, first-out linked list that allows removal at any place.
type queue struct {
	head, tail *waiter
	length     int
}

func (q *queue) push(w *waiter) {
	w.queue = q
	w.prev = q.tail
	if q.tail == nil {
		q.head = w
	} else {
		q.tail.next = w
	}
	q.tail = w
	q.length++
}

func (q *queue) remove(w *waiter) {
	if w.prev == nil {
		q.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.queue, w.prev, w.next = nil, nil, nil
	q.length--
}
