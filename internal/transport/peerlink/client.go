package peerlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// routeRetention is how long the client keeps the record of an unreachable peer
// after its last dial.
const routeRetention = 10 * time.Minute

// spareLifetime is how long the connection of a check is kept: until the silent link
// has surely failed.
const spareLifetime = 2 * time.Second

// target identifies one incarnation of one instance, the far end of a link.
type target struct {
	id          state.InstanceID
	incarnation state.Incarnation
}

// peerRoute holds the link to one target and the state of its dials. Guarded by
// Client.mu.
type peerRoute struct {
	link     *clientLink   // nil if there is none
	dialling chan struct{} // closed when the dial ends; nil if no dial is running
	spare    *clientLink   // result of a check, which replaces link if that is silent; not started
	failure  error         // error of the last dial; nil if it succeeded
	failures int           // consecutive failed dials
	retryAt  time.Time     // earliest time of the next dial
	leaving  bool          // the target will accept no more streams
}

// Client opens streams to peers and makes calls to them. It is safe for
// concurrent use.
type Client struct {
	config     Config
	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex
	routes map[target]*peerRoute
	closed bool
}

// NewClient returns a client. Links are dialled when they are first needed.
func NewClient(config Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config.withDefaults(), ctx: ctx, cancel: cancel,
		routes: make(map[target]*peerRoute),
	}
}

// openAttempts is the number of links on which Open tries. A retry is safe
// because no unit is sent before the peer has opened the stream.
const openAttempts = 2

// Open opens a stream on the peer. An error is a *state.Failure with
// OutcomeNotRun.
func (c *Client) Open(ctx context.Context, peer state.Instance, request execution.OpenRequest) (execution.Stream, error) {
	var failure *state.Failure
	for range openAttempts {
		link, dialFailure := c.link(ctx, peer)
		if dialFailure != nil {
			return nil, dialFailure
		}
		var stream *clientStream
		stream, failure = link.open(ctx, request)
		if failure == nil {
			return stream, nil
		}
		if link.alive() || ctx.Err() != nil {
			return nil, failure
		}
	}
	return nil, failure
}

// Call makes one unary request and decodes the response into reply, which is a
// pointer or nil. An error is a *state.Failure. Its outcome is OutcomeNotRun
// only if the request was never handed to the connection or the peer reports
// that it did not run.
func (c *Client) Call(ctx context.Context, peer state.Instance, method string, request, reply any) error {
	body, err := peerproto.Marshal(request)
	if err != nil {
		return state.NotRun(state.ReasonUnsupported, stepCall, peerName(peer.ID, peer.PeerAddress), 0, err)
	}
	link, failure := c.link(ctx, peer)
	if failure != nil {
		return failure
	}
	response, failure := link.call(ctx, method, body)
	if failure != nil {
		return failure
	}
	if reply == nil {
		return nil
	}
	if err := peerproto.Unmarshal(response, reply); err != nil {
		return state.Unknown(state.ReasonUnsupported, stepCall, link.name(), err)
	}
	return nil
}

// link returns the link to the peer's incarnation, and dials it if necessary.
func (c *Client) link(ctx context.Context, peer state.Instance) (*clientLink, *state.Failure) {
	name := peerName(peer.ID, peer.PeerAddress)
	for waited := false; ; waited = true {
		link, dialling, failure := c.find(peer, waited)
		if link != nil || failure != nil {
			return link, failure
		}
		select {
		case <-dialling:
		case <-ctx.Done():
			return nil, state.NotRun(state.ReasonUnreachable, stepDial, name, retryAfterLost, ctx.Err())
		}
	}
}

// find returns a live link, or a channel that is closed when the running dial
// ends. If the caller has already waited for a dial, a failure of that dial is
// returned and no new one is started.
func (c *Client) find(peer state.Instance, waited bool) (*clientLink, <-chan struct{}, *state.Failure) {
	name := peerName(peer.ID, peer.PeerAddress)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, state.NotRun(state.ReasonLeaving, stepDial, name, 0, errClosed)
	}
	key := target{peer.ID, peer.Incarnation}
	route, found := c.routes[key]
	if !found {
		route = &peerRoute{}
		c.routes[key] = route
	}
	if route.link != nil && route.link.alive() {
		return route.link, nil, nil
	}
	if route.leaving {
		return nil, nil, state.NotRun(state.ReasonLeaving, stepDial, name, 0, errDraining)
	}
	if route.dialling != nil {
		return nil, route.dialling, nil
	}
	pause := time.Until(route.retryAt)
	if route.failure != nil && (waited || pause > 0) {
		return nil, nil, state.NotRun(state.ReasonUnreachable, stepDial, name, max(pause, 0), route.failure)
	}
	return nil, c.startDial(key, route, peer), nil
}

// startDial starts a dial whose result all waiting callers share. The caller
// must hold mu.
func (c *Client) startDial(key target, route *peerRoute, peer state.Instance) <-chan struct{} {
	done := make(chan struct{})
	route.dialling = done
	c.goroutines.Go(func() {
		link, err := c.dial(peer)
		c.finishDial(key, route, link, err)
		close(done)
		c.reportDial(peer, link, err)
	})
	return done
}

// finishDial records the result of a dial and starts the new link.
func (c *Client) finishDial(key target, route *peerRoute, link *clientLink, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	route.dialling = nil
	route.failure = err
	if err != nil {
		dialsFailed.Inc()
		route.retryAt = time.Now().Add(c.backoff(route.failures))
		route.failures++
		c.prune()
		return
	}
	c.useLink(key, route, link)
}

// useLink starts a new link. The caller must hold mu.
func (c *Client) useLink(key target, route *peerRoute, link *clientLink) {
	dialsDone.Inc()
	route.failures = 0
	route.retryAt = time.Time{}
	route.link = link
	route.leaving = link.handshake.PeerLeaving
	c.routes[key] = route
	c.retireOlder(key)
	if c.closed {
		link.fail(errClosed)
	}
	link.start(link)
	c.goroutines.Go(link.wait)
}

// backoff returns the pause after the given number of failures. It doubles with
// each failure; jitter shortens it by up to half.
func (c *Client) backoff(failures int) time.Duration {
	const maxShift = 16
	pause := min(c.config.DialBackoff<<min(failures, maxShift), c.config.MaxDialBackoff)
	return pause/2 + rand.N(pause/2+1)
}

// retireOlder marks earlier incarnations of the instance as leaving and closes
// their links if unused. The caller must hold mu.
func (c *Client) retireOlder(newest target) {
	for key, route := range c.routes {
		if key.id != newest.id || key.incarnation >= newest.incarnation {
			continue
		}
		route.leaving = true
		if route.link != nil {
			go route.link.closeIfUnused()
		}
	}
}

// prune deletes targets without a link that have not been dialled for
// routeRetention. The caller must hold mu.
func (c *Client) prune() {
	for key, route := range c.routes {
		if route.link == nil && route.dialling == nil && time.Since(route.retryAt) > routeRetention {
			delete(c.routes, key)
		}
	}
}

// dial connects to the peer and performs the handshake.
func (c *Client) dial(peer state.Instance) (*clientLink, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.HandshakeTimeout)
	defer cancel()
	raw, err := c.config.Dial(ctx, peer.PeerAddress)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn := clientTLS(raw, c.config.ClientTLS)
	expected := peerproto.Identity{ID: peer.ID, Incarnation: peer.Incarnation}
	handshake, err := peerproto.Dial(conn, c.config.party(), expected)
	if err == nil && !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newClientLink(c, newLink(c.config, conn, peer, handshake)), nil
}

func (c *Client) reportDial(peer state.Instance, link *clientLink, err error) {
	if err != nil {
		c.config.Logger.Info().Err(err).Str("peer", peerName(peer.ID, peer.PeerAddress)).Msg("peer dial failed")
		if !errors.Is(err, context.Canceled) {
			c.config.Evidence.ReportFailure(peer.ID, peer.Incarnation, err)
		}
		return
	}
	c.config.Evidence.ReportSuccess(peer.ID, peer.Incarnation)
	if link.handshake.PeerLeaving {
		c.config.Evidence.ReportLeaving(peer.ID, peer.Incarnation)
	}
}

// checkPeer dials the peer of a link on which a probe is not answered. If the peer
// replies, the new connection is kept until the link fails or receives something.
func (c *Client) checkPeer(link *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	route, found := c.routes[target{link.peer.ID, link.peer.Incarnation}]
	if !found || route.link != link || c.closed || route.spare != nil {
		return
	}
	c.goroutines.Go(func() {
		spare, err := c.dial(link.peer)
		c.keepSpare(route, link, spare)
		c.reportDial(link.peer, spare, err)
		// A process that has ended refuses connections; its link is lost as well.
		link.prober.checkEnded(err == nil || errors.Is(err, syscall.ECONNREFUSED))
	})
}

// keepSpare keeps the connection of a check while its link is in place.
func (c *Client) keepSpare(route *peerRoute, link, spare *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spare == nil {
		return
	}
	if c.closed || route.link != link || route.spare != nil {
		spare.fail(errIdle)
		return
	}
	route.spare = spare
	time.AfterFunc(spareLifetime, func() { c.dropSpare(route, spare) })
}

// dropSpare closes the connection of a check whose link did not fail.
func (c *Client) dropSpare(route *peerRoute, spare *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if route.spare == spare {
		route.spare = nil
		spare.fail(errIdle)
	}
}

// markLeaving records that the link's peer accepts no new streams.
func (c *Client) markLeaving(link *clientLink) {
	c.mu.Lock()
	if route, found := c.routes[target{link.peer.ID, link.peer.Incarnation}]; found {
		route.leaving = true
	}
	c.mu.Unlock()
	c.config.Evidence.ReportLeaving(link.peer.ID, link.peer.Incarnation)
}

// removeLink removes a link that has ended. A link that was lost while in use
// is redialled at once, so that the peer's state is known before the next
// request.
func (c *Client) removeLink(link *clientLink, cause error, inUse bool) {
	c.config.Logger.Info().Err(cause).Str("peer", link.name()).Msg("peer link ended")
	c.mu.Lock()
	defer c.mu.Unlock()
	key := target{link.peer.ID, link.peer.Incarnation}
	route, found := c.routes[key]
	if !found || route.link != link {
		return
	}
	route.link = nil
	if c.closed || route.leaving || route.dialling != nil {
		return
	}
	if spare := route.spare; spare != nil {
		route.spare = nil
		c.useLink(key, route, spare)
		return
	}
	if inUse && !errors.Is(cause, errClosed) {
		c.startDial(key, route, link.peer)
		return
	}
	delete(c.routes, key)
}

// Close ends all links and waits for their goroutines. Open streams fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var links []*clientLink
	for _, route := range c.routes {
		if route.link != nil {
			links = append(links, route.link)
		}
		if route.spare != nil {
			links = append(links, route.spare)
			route.spare = nil
		}
	}
	c.mu.Unlock()
	c.cancel()
	for _, link := range links {
		link.fail(errClosed)
	}
	c.goroutines.Wait()
}
