package peerlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// forgetAfter is how long a peer that cannot be reached is remembered after
// its last dial.
const forgetAfter = 10 * time.Minute

// target is one run of one instance: what a link leads to.
type target struct {
	id          state.InstanceID
	incarnation state.Incarnation
}

// route is what the client knows of one target. Guarded by Client.mu.
type route struct {
	link     *clientLink   // nil where there is none
	dialling chan struct{} // closed at the end of the dial; nil where none runs
	failure  error         // of the last dial
	failures int           // dials failed in a row
	retryAt  time.Time     // no dial before
	leaving  bool          // the target accepts no new streams, for good
}

// Client opens streams and calls on peers. Safe for concurrent use.
type Client struct {
	config  Config
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	routes map[target]*route
	closed bool
}

// NewClient returns a client that dials nobody yet.
func NewClient(config Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config.withDefaults(), ctx: ctx, cancel: cancel,
		routes: make(map[target]*route),
	}
}

// openAttempts is how many links an Open is tried on. No unit has been sent
// before the stream is held, so trying again is safe.
const openAttempts = 2

// Open asks the peer for a stream. An error is a *state.Failure with
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

// Call sends one unary request and decodes its answer into reply, a pointer or
// nil. An error is a *state.Failure; it is not run only where the request
// never left, or the peer says so.
func (c *Client) Call(ctx context.Context, peer state.Instance, method string, request, reply any) error {
	body, err := peerproto.Marshal(request)
	if err != nil {
		return state.NotRun(state.ReasonUnsupported, stepCall, peerName(peer.ID, peer.PeerAddress), 0, err)
	}
	link, failure := c.link(ctx, peer)
	if failure != nil {
		return failure
	}
	answer, failure := link.call(ctx, method, body)
	if failure != nil {
		return failure
	}
	if reply == nil {
		return nil
	}
	if err := peerproto.Unmarshal(answer, reply); err != nil {
		return state.Unknown(state.ReasonUnsupported, stepCall, link.name(), err)
	}
	return nil
}

// link returns the link to the peer's incarnation, and dials it if need be.
func (c *Client) link(ctx context.Context, peer state.Instance) (*clientLink, *state.Failure) {
	name := peerName(peer.ID, peer.PeerAddress)
	for dialled := false; ; dialled = true {
		link, dialling, failure := c.find(peer, dialled)
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

// find returns a link that is up, or the dial to wait for. After a wait, the
// dial's failure is returned in place of a new dial.
func (c *Client) find(peer state.Instance, waited bool) (*clientLink, <-chan struct{}, *state.Failure) {
	name := peerName(peer.ID, peer.PeerAddress)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, state.NotRun(state.ReasonLeaving, stepDial, name, 0, errClosed)
	}
	key := target{peer.ID, peer.Incarnation}
	to, found := c.routes[key]
	if !found {
		to = &route{}
		c.routes[key] = to
	}
	if to.link != nil && to.link.alive() {
		return to.link, nil, nil
	}
	if to.leaving {
		return nil, nil, state.NotRun(state.ReasonLeaving, stepDial, name, 0, errDraining)
	}
	if to.dialling != nil {
		return nil, to.dialling, nil
	}
	pause := time.Until(to.retryAt)
	if to.failure != nil && (waited || pause > 0) {
		return nil, nil, state.NotRun(state.ReasonUnreachable, stepDial, name, max(pause, 0), to.failure)
	}
	return nil, c.startDial(key, to, peer), nil
}

// startDial runs one dial for all who wait. Called with mu held.
func (c *Client) startDial(key target, to *route, peer state.Instance) <-chan struct{} {
	done := make(chan struct{})
	to.dialling = done
	c.running.Go(func() {
		link, err := c.dial(peer)
		c.dialled(key, to, link, err)
		close(done)
		c.report(peer, link, err)
	})
	return done
}

// dialled records the end of a dial.
func (c *Client) dialled(key target, to *route, link *clientLink, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to.dialling = nil
	to.failure = err
	if err != nil {
		dialsFailed.Inc()
		to.retryAt = time.Now().Add(c.backoff(to.failures))
		to.failures++
		c.prune()
		return
	}
	dialsDone.Inc()
	to.failures = 0
	to.retryAt = time.Time{}
	to.link = link
	to.leaving = link.agreement.PeerLeaving
	c.routes[key] = to
	c.retireOlder(key)
	if c.closed {
		link.fail(errClosed)
	}
	link.start(link)
	c.running.Go(link.wait)
}

// backoff is the pause after a number of failures: doubling, with jitter down
// to half.
func (c *Client) backoff(failures int) time.Duration {
	const maxShift = 16
	pause := min(c.config.DialBackoff<<min(failures, maxShift), c.config.MaxDialBackoff)
	return pause/2 + rand.N(pause/2+1)
}

// retireOlder closes idle links to earlier incarnations. Called with mu held.
func (c *Client) retireOlder(newest target) {
	for key, to := range c.routes {
		if key.id != newest.id || key.incarnation >= newest.incarnation {
			continue
		}
		to.leaving = true
		if to.link != nil {
			go to.link.closeIfUnused()
		}
	}
}

// prune forgets targets that nobody dialled for long. Called with mu held.
func (c *Client) prune() {
	for key, to := range c.routes {
		if to.link == nil && to.dialling == nil && time.Since(to.retryAt) > forgetAfter {
			delete(c.routes, key)
		}
	}
}

// dial connects to the peer and runs the handshake.
func (c *Client) dial(peer state.Instance) (*clientLink, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.HandshakeTimeout)
	defer cancel()
	dialled, err := c.config.Dial(ctx, peer.PeerAddress)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { dialled.Close() })
	defer stop()
	conn := clientTLS(dialled, c.config.ClientTLS)
	want := peerproto.Identity{ID: peer.ID, Incarnation: peer.Incarnation}
	agreement, err := peerproto.Dial(conn, c.config.party(), want)
	if err == nil && !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newClientLink(c, newLink(c.config, conn, peer, agreement)), nil
}

func (c *Client) report(peer state.Instance, link *clientLink, err error) {
	if err != nil {
		c.config.Logger.Info().Err(err).Str("peer", peerName(peer.ID, peer.PeerAddress)).Msg("peer dial failed")
		if !errors.Is(err, context.Canceled) {
			c.config.Evidence.ReportFailure(peer.ID, peer.Incarnation, err)
		}
		return
	}
	c.config.Evidence.ReportSuccess(peer.ID, peer.Incarnation)
	if link.agreement.PeerLeaving {
		c.config.Evidence.ReportLeaving(peer.ID, peer.Incarnation)
	}
}

// leaving notes that a link's peer accepts no new streams.
func (c *Client) leaving(link *clientLink) {
	c.mu.Lock()
	if to, found := c.routes[target{link.peer.ID, link.peer.Incarnation}]; found {
		to.leaving = true
	}
	c.mu.Unlock()
	c.config.Evidence.ReportLeaving(link.peer.ID, link.peer.Incarnation)
}

// linkDown forgets a link. One that was lost in use is dialled anew at once, so
// that the peer's state is known before the next request.
func (c *Client) linkDown(link *clientLink, cause error, inUse bool) {
	c.config.Logger.Info().Err(cause).Str("peer", link.name()).Msg("peer link ended")
	c.mu.Lock()
	defer c.mu.Unlock()
	key := target{link.peer.ID, link.peer.Incarnation}
	to, found := c.routes[key]
	if !found || to.link != link {
		return
	}
	to.link = nil
	if c.closed || to.leaving || to.dialling != nil {
		return
	}
	if inUse && !errors.Is(cause, errClosed) {
		c.startDial(key, to, link.peer)
		return
	}
	delete(c.routes, key)
}

// Close ends all links and waits for their goroutines. Streams in use fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var links []*clientLink
	for _, to := range c.routes {
		if to.link != nil {
			links = append(links, to.link)
		}
	}
	c.mu.Unlock()
	c.cancel()
	for _, link := range links {
		link.fail(errClosed)
	}
	c.running.Wait()
}
