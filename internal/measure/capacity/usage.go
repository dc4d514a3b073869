package capacity

import (
	"context"
	"net"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// processorTime returns the user and system processor time that this process has
// used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveBytes returns the bytes of live heap objects and of stacks after a garbage
// collection.
func liveBytes() float64 {
	// The second collection frees objects that became unreachable when
	// finalisers ran after the first.
	runtime.GC()
	runtime.GC()
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}

// minRepeatTime is how long a call is repeated to measure its processor time.
const minRepeatTime = 300 * time.Millisecond

// processorTimePerCall returns the mean processor time of a call, in microseconds.
// It makes one call before it starts to measure.
func processorTimePerCall(call func()) float64 {
	call()
	started, before, calls := time.Now(), processorTime(), 0
	for time.Since(started) < minRepeatTime {
		call()
		calls++
	}
	return microseconds(processorTime()-before) / float64(calls)
}

func microseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Microsecond)
}

// traffic counts the bytes sent and received on connections, by dialled address.
// It implements app.Network.
type traffic struct {
	mu        sync.Mutex // protects byAddress
	byAddress map[string]*atomic.Int64
}

func newTraffic() *traffic {
	return &traffic{byAddress: map[string]*atomic.Int64{}}
}

// DialContext opens a TCP connection whose bytes are counted.
func (t *traffic) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, count: t.counter(address)}, nil
}

func (t *traffic) counter(address string) *atomic.Int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress[address] == nil {
		t.byAddress[address] = new(atomic.Int64)
	}
	return t.byAddress[address]
}

// bytes returns the bytes sent to and received from the given addresses, or all
// addresses if none is given.
func (t *traffic) bytes(addresses ...string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum int64
	if len(addresses) == 0 {
		for _, count := range t.byAddress {
			sum += count.Load()
		}
	}
	for _, address := range addresses {
		if count := t.byAddress[address]; count != nil {
			sum += count.Load()
		}
	}
	return float64(sum)
}

// countedConn adds the bytes read and written on a connection to a counter.
type countedConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.Add(int64(n))
	return n, err
}
