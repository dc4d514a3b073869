package capacity

import (
	"context"
	"net"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/peerlink"
)

// emptyHandler returns an empty response to each call and refuses to open streams.
type emptyHandler struct{}

// Open implements execution.Executor.
func (emptyHandler) Open(context.Context, execution.OpenRequest) (execution.Stream, error) {
	return nil, state.NotRun(state.ReasonUnsupported, "open", "", 0, nil)
}

// HandleCall implements peerlink.Handler.
func (emptyHandler) HandleCall(context.Context, state.InstanceID, string, []byte) (any, error) {
	return struct{}{}, nil
}

// idleTime is how long idle links and idle watchers are measured.
const idleTime = 3 * time.Second

// measureLinks measures links between peers: one server, and one client for each
// link. The memory includes both ends, because an instance dials each peer and is
// dialled by each peer.
func measureLinks(ctx context.Context, report *Report) error {
	series := func(name, unit string) Series {
		return Series{Section: "links", Name: name, Unit: unit, Per: "links", Target: targetPeerLinks}
	}
	memory := series("memory of both ends", "bytes")
	goroutines := series("goroutines of both ends", "goroutines")
	idle := series("traffic of idle links", "bytes/s")
	call := Series{Section: "links", Name: "calls, both ends", Unit: "bytes", Per: "calls", Target: 1}
	callTime := Series{Section: "links", Name: "calls, both ends", Unit: "us", Per: "calls", Target: 1}
	for _, size := range []int{10, 50, 200} {
		l, err := openLinks(ctx, size)
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, Point{float64(size), l.memory})
		goroutines.Points = append(goroutines.Points, Point{float64(size), l.goroutines})
		before := l.traffic.bytes()
		err = pause(ctx, idleTime)
		idle.Points = append(idle.Points, Point{float64(size), (l.traffic.bytes() - before) / idleTime.Seconds()})
		if err == nil {
			err = l.callMany(ctx, 10*size, &call, &callTime)
		}
		l.close()
		if err != nil {
			return err
		}
	}
	return addAll(report, memory, goroutines, idle, call, callTime)
}

// linkPairs is a number of links with both ends in this process, and the memory
// and goroutines that they use.
type linkPairs struct {
	server     *peerlink.Server
	peer       state.Instance
	clients    []*peerlink.Client
	traffic    *traffic
	memory     float64
	goroutines float64
}

func openLinks(ctx context.Context, count int) (*linkPairs, error) {
	keys, err := peerproto.NewKeyRing([]byte("a key for measurements only"))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for peer links")
	}
	l := &linkPairs{traffic: newTraffic()}
	l.peer = state.Instance{ID: "server", Incarnation: 1, PeerAddress: listener.Addr().String()}
	l.server = peerlink.NewServer(peerlink.Config{Self: l.peer, Keys: keys, Logger: zerolog.Nop()}, emptyHandler{})
	go func() { _ = l.server.Serve(listener) }()
	for _, self := range instances(count) {
		l.clients = append(l.clients, peerlink.NewClient(peerlink.Config{
			Self: self, Keys: keys, Logger: zerolog.Nop(),
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return l.traffic.DialContext(ctx, "tcp", address)
			},
		}))
	}
	memory, goroutines := liveBytes(), runtime.NumGoroutine()
	for _, client := range l.clients {
		if err := client.Call(ctx, l.peer, "echo", struct{}{}, &struct{}{}); err != nil {
			l.close()
			return nil, err
		}
	}
	l.memory = liveBytes() - memory
	l.goroutines = float64(runtime.NumGoroutine() - goroutines)
	return l, nil
}

// callMany makes count calls in sequence, spread evenly over the links, and adds a
// point to each series.
func (l *linkPairs) callMany(ctx context.Context, count int, bytes, processor *Series) error {
	bytesBefore, timeBefore := l.traffic.bytes(), processorTime()
	for i := range count {
		if err := l.clients[i%len(l.clients)].Call(ctx, l.peer, "echo", struct{}{}, &struct{}{}); err != nil {
			return err
		}
	}
	bytes.Points = append(bytes.Points, Point{float64(count), l.traffic.bytes() - bytesBefore})
	processor.Points = append(processor.Points, Point{float64(count), microseconds(processorTime() - timeBefore)})
	return nil
}

func (l *linkPairs) close() {
	for _, client := range l.clients {
		client.Close()
	}
	l.server.Close()
}
