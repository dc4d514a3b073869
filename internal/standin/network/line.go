package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// line is one direction of a connection: bytes come out in order, each after
// the delay of its way and while the way is open. Its mutex guards the fields
// below it and is taken before Network.mu.
type line struct {
	network *Network
	way     direction

	mu     sync.Mutex
	chunks []chunk
	// closed is set once no reader wants the bytes any longer.
	closed bool
	// news is closed and replaced whenever a chunk is added or the line closed.
	news chan struct{}
}

// chunk is what was sent at once. A chunk with an error is the last.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

func newLine(network *Network, way direction) *line {
	return &line{network: network, way: way, news: make(chan struct{})}
}

// send adds a copy of data, or the error that ends the line.
func (l *line) send(data []byte, err error) {
	copied := append([]byte(nil), data...)
	due := time.Now().Add(l.network.delay(l.way))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chunks = append(l.chunks, chunk{due: due, data: copied, err: err})
	l.announce()
}

// close ends the line for its reader.
func (l *line) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.announce()
}

// announce tells a waiting reader of a change. The caller holds mu.
func (l *line) announce() {
	close(l.news)
	l.news = make(chan struct{})
}

// receive waits for bytes that have arrived and copies them into p. It fails
// with os.ErrDeadlineExceeded once expired is closed.
func (l *line) receive(p []byte, expired <-chan struct{}) (int, error) {
	for {
		count, wait, err := l.take(p)
		if count > 0 || err != nil {
			return count, err
		}
		if !wait.until(expired) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// take copies what has arrived, or says what to wait for.
func (l *line) take(p []byte) (int, arrival, error) {
	open, changed := l.network.passable(l.way)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return 0, arrival{}, net.ErrClosed
	case len(l.chunks) == 0:
		return 0, arrival{news: l.news}, nil
	case !open:
		return 0, arrival{news: l.news, changed: changed}, nil
	}
	first := &l.chunks[0]
	if remaining := time.Until(first.due); remaining > 0 {
		return 0, arrival{news: l.news, changed: changed, after: remaining}, nil
	}
	if first.err != nil {
		return 0, arrival{}, first.err
	}
	count := copy(p, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		l.chunks = l.chunks[1:]
	}
	return count, arrival{}, nil
}

// arrival is what a reader waits for: a change of the line or of the network,
// or a time.
type arrival struct {
	news, changed <-chan struct{}
	after         time.Duration
}

// until waits; it returns false if expired is closed first.
func (a arrival) until(expired <-chan struct{}) bool {
	var due <-chan time.Time
	if a.after > 0 {
		timer := time.NewTimer(a.after)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-expired:
		return false
	case <-a.news:
	case <-a.changed:
	case <-due:
	}
	return true
}

// pump moves what arrives on a line to a writer until either ends.
func (l *line) pump(to io.Writer) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := l.receive(buffer, nil)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
