package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// stream is one direction of a connection. It delivers bytes in order, each after
// the delay of its direction and only while that direction is not partitioned.
// Its mutex guards the fields below it and is taken before Network.mu.
type stream struct {
	network   *Network
	direction direction

	mu     sync.Mutex
	chunks []chunk
	// closed is set once the reading end is closed.
	closed bool
	// updated is closed and replaced whenever a chunk is added or the stream closed.
	updated chan struct{}
}

// chunk holds the bytes of one call of send. A chunk with an error is the last.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

func newStream(network *Network, dir direction) *stream {
	return &stream{network: network, direction: dir, updated: make(chan struct{})}
}

// send adds a copy of data, or the error that ends the stream.
func (s *stream) send(data []byte, err error) {
	copied := append([]byte(nil), data...)
	due := time.Now().Add(s.network.delay(s.direction))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = append(s.chunks, chunk{due: due, data: copied, err: err})
	s.notify()
}

// close makes all further reads fail with net.ErrClosed.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.notify()
}

// notify wakes a waiting reader after a change. The caller holds mu.
func (s *stream) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// receive waits for bytes that have arrived and copies them into p. It fails
// with os.ErrDeadlineExceeded once expired is closed.
func (s *stream) receive(p []byte, expired <-chan struct{}) (int, error) {
	for {
		count, condition, err := s.take(p)
		if count > 0 || err != nil {
			return count, err
		}
		if !condition.wait(expired) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// take copies bytes that have arrived into p. If there are none, it returns the
// condition to wait for.
func (s *stream) take(p []byte) (int, waitCondition, error) {
	open, changed := s.network.isOpen(s.direction)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return 0, waitCondition{}, net.ErrClosed
	case len(s.chunks) == 0:
		return 0, waitCondition{updated: s.updated}, nil
	case !open:
		return 0, waitCondition{updated: s.updated, networkChanged: changed}, nil
	}
	first := &s.chunks[0]
	if remaining := time.Until(first.due); remaining > 0 {
		return 0, waitCondition{updated: s.updated, networkChanged: changed, delay: remaining}, nil
	}
	if first.err != nil {
		return 0, waitCondition{}, first.err
	}
	count := copy(p, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return count, waitCondition{}, nil
}

// waitCondition is what a reader waits for: a change of the stream or of the
// network, or a delay.
type waitCondition struct {
	updated, networkChanged <-chan struct{}
	delay                   time.Duration
}

// wait blocks until one part of the condition holds. It returns false if expired
// is closed first.
func (w waitCondition) wait(expired <-chan struct{}) bool {
	var due <-chan time.Time
	if w.delay > 0 {
		timer := time.NewTimer(w.delay)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-expired:
		return false
	case <-w.updated:
	case <-w.networkChanged:
	case <-due:
	}
	return true
}

// copyTo copies the bytes that arrive on the stream to a writer until either fails
// or ends.
func (s *stream) copyTo(to io.Writer) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := s.receive(buffer, nil)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
