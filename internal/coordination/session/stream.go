package session

import (
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
)

// currentStream is the stream that the session holds. Its mutex lets Cancel
// read the stream from another goroutine; no other lock is taken while it is
// held.
type currentStream struct {
	mu     sync.Mutex
	stream *routing.Stream
}

func (c *currentStream) get() *routing.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream
}

func (c *currentStream) set(stream *routing.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream = stream
}

func (c *currentStream) take() *routing.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.stream
	c.stream = nil
	return stream
}
