package council

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/forward"
)

// place connects an instance's pools with the placement of connections and with
// links to the other instances.
func (i *instance) place(clock state.Clock, log zerolog.Logger) {
	i.placement = placement.New(placement.Config{
		Self: state.InstanceID(i.name), Region: func(state.DataCentre) string { return "" }, Clock: clock, Log: log,
		ReadInterval: func() time.Duration { return i.leadership.MembersReadInterval() },
		Instances:    func() []placement.Instance { return i.leadership.LiveInstances() },
		Workspaces:   func() int { return i.cluster.workspaces },
		Accepted:     func(state.GroupID) int { return i.cluster.options.MaxConnections },
		Demand:       func(group state.GroupID) float64 { return i.leadership.GroupDemand(group) },
	})
	i.holder = forwarding.NewHolder(forwarding.HolderConfig{
		Directory: i.directory, Leadership: lateLeadership{i}, Pools: i.pools, Placement: i.placement, Clock: clock, Log: log,
	})
	i.linkServer = forward.NewServer(func() forward.Session { return i.holder.NewSession() }, log)
	links := forward.NewClient(i.dialPeer, log)
	go links.Run(i.ctx)
	sender := forwarding.NewSender(forwarding.SenderConfig{
		Self: state.InstanceID(i.name), Placement: i.placement, Links: links, Local: func() *forwarding.Holder { return i.holder }, Log: log,
	})
	sender.Place(i.pools)
}

// lateLeadership uses the manager that is made after the holder.
type lateLeadership struct{ i *instance }

func (l lateLeadership) Acquire(group state.GroupID) (*leadership.Grant, error) {
	return l.i.leadership.Acquire(group)
}

// dialPeer opens an in-memory connection to another instance. One that has been
// partitioned delivers nothing any more, without an error.
func (i *instance) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	state.Pause(ctx, 2*oneWayDelay)
	peer := i.cluster.newestRun(address)
	if peer == nil || peer.ctx.Err() != nil {
		return nil, errors.New("connection refused")
	}
	if i.cluster.partitioned(i.name, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	cut := &atomic.Bool{}
	wire := func(conn net.Conn) *wireConn {
		return &wireConn{Conn: conn, cut: cut, partitioned: func() bool { return i.cluster.partitioned(i.name, address) }}
	}
	accepted := wire(far)
	go peer.linkServer.Serve(accepted, bufio.NewReader(accepted))
	for _, end := range []*instance{i, peer} {
		context.AfterFunc(end.ctx, func() { near.Close(); far.Close() })
	}
	return wire(near), nil
}

// wireConn delays what is written, and drops it once the two ends were partitioned.
type wireConn struct {
	net.Conn
	cut         *atomic.Bool
	partitioned func() bool
}

// Write implements net.Conn.
func (w *wireConn) Write(data []byte) (int, error) {
	time.Sleep(oneWayDelay)
	if w.partitioned() {
		w.cut.Store(true)
	}
	if w.cut.Load() {
		return len(data), nil
	}
	return w.Conn.Write(data)
}
