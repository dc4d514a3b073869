package forwarding

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// maxHolders is how many holders one statement is passed to while they refuse.
	maxHolders = 2
	// openTimeout bounds the time in which a link to a holder is opened: some
	// round trips between regions. Two attempts and one on an own connection must
	// fit into the time that a statement may wait.
	openTimeout = 120 * time.Millisecond
	// avoidTime is how long a holder that can't be reached, or is stopping, is
	// passed over. It doubles with each further failure up to maxAvoidTime.
	avoidTime    = 2 * time.Second
	maxAvoidTime = 8 * time.Second
)

// SenderConfig holds the dependencies of a sender.
type SenderConfig struct {
	Self      state.InstanceID
	Placement Placement
	Links     Links
	// Local runs statements on this instance's own connections if no holder can be
	// reached.
	Local func() *Holder
	Log   zerolog.Logger
}

// Sender passes statements to holders. It implements pooling.Forwarder.
type Sender struct {
	SenderConfig

	mu sync.Mutex
	// avoided holds the instances that failed lately, by address.
	avoided map[string]avoidance
}

// avoidance says until when an instance is passed over, and for how long the last
// failure had it passed over.
type avoidance struct {
	until time.Time
	last  time.Duration
}

// NewSender returns a sender.
func NewSender(config SenderConfig) *Sender {
	return &Sender{SenderConfig: config, avoided: make(map[string]avoidance)}
}

// Open implements pooling.Forwarder.
func (s *Sender) Open(server state.Server, request pooling.Request, deadline time.Time) pooling.ServerConn {
	holders := s.holders(server, request.Workspace)
	if len(holders) > 0 && holders[0].Name == s.Self {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &senderConn{sender: s, server: server, request: request, holders: holders, waitUntil: deadline, ctx: ctx, cancel: cancel}
}

// Place has the pools follow the placement: where there are holders, the other
// instances' requests go through the sender.
func (s *Sender) Place(pools *pooling.Manager) {
	pools.SetPlacement(func(server state.Server) pooling.Placement {
		placed := s.Placement.Of(server)
		if placed.Direct {
			return pooling.Placement{Share: pools.DirectShare(server.Group)}
		}
		return pooling.Placement{Share: placed.Share, Forward: !placed.Holds || placed.ByWorkspace, Holds: placed.Holds, CloseExcess: true}
	}, s)
}

// holders returns the holders to try, in this sender's order without those that are
// avoided.
func (s *Sender) holders(server state.Server, workspace state.WorkspaceID) []placement.Instance {
	placed := s.Placement.Of(server)
	if !placed.ByWorkspace {
		workspace = ""
	}
	ordered := placement.OrderFor(s.Self, workspace, server.ID, placed.Holders)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var usable []placement.Instance
	for _, holder := range ordered {
		if len(usable) < maxHolders && !now.Before(s.avoided[holder.Address].until) {
			usable = append(usable, holder)
		}
	}
	return usable
}

// avoid passes over an instance for a while.
func (s *Sender) avoid(holder placement.Instance, cause error) {
	now := time.Now()
	s.mu.Lock()
	for address, avoided := range s.avoided {
		if now.After(avoided.until.Add(maxAvoidTime)) {
			delete(s.avoided, address)
		}
	}
	avoided := s.avoided[holder.Address]
	before := now.Before(avoided.until)
	if !before {
		// Failures of statements that were under way together count once.
		avoided.last = min(max(avoidTime, 2*avoided.last), maxAvoidTime)
		avoided.until = now.Add(avoided.last)
		s.avoided[holder.Address] = avoided
	}
	s.mu.Unlock()
	if !before {
		s.Log.Warn().Err(cause).Str("holder", string(holder.Name)).Str("address", holder.Address).Dur("avoided_ms", avoided.last).Msg("holder avoided")
	}
}

// answered ends the avoidance of an instance that has answered.
func (s *Sender) answered(holder placement.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.avoided, holder.Address)
}

func count(outcome string) {
	metrics.GetOrCreateCounter(`cyclamenpin_forwarded_total{outcome="` + outcome + `"}`).Inc()
}

// senderConn is the sender's side of one request or transaction.
type senderConn struct {
	sender    *Sender
	server    state.Server
	request   pooling.Request
	holders   []placement.Instance
	waitUntil time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	values    map[string]string

	mu sync.Mutex
	// stream and holder are set while a transaction is open at a holder or a call
	// is in progress; local is set instead if it runs on an own connection.
	stream Stream
	holder placement.Instance
	local  *Session
	closed bool
}

// CarryValues sets the session values that are sent with each statement.
func (c *senderConn) CarryValues(values *pooling.Values) {
	c.values = values.Map()
}

// Alive implements pooling.ServerConn.
func (c *senderConn) Alive() bool { return c.ctx.Err() == nil }

// Close implements pooling.ServerConn.
func (c *senderConn) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	stream, local := c.stream, c.local
	c.mu.Unlock()
	if stream != nil {
		stream.Close()
	}
	if local != nil {
		local.Close()
	}
}

// Run implements pooling.ServerConn. The holder knows what its connections have
// prepared, so that the statement to prepare goes with each call.
func (c *senderConn) Run(statement pooling.Statement, deadline time.Time, _ func()) (state.Reply, error) {
	call := Call{
		Group: c.server.Group, Database: c.server.ID, Born: c.server.Born, Workspace: c.request.Workspace, Priority: c.request.Priority,
		Primary: c.request.Primary, Values: c.values, ID: statement.ID, Text: statement.Text, After: statement.After,
	}
	if p := statement.Prepare; p != nil {
		call.Prepared = &Prepared{Name: p.Name, Shape: p.Shape, Writes: p.Writes}
	}
	c.mu.Lock()
	begun := c.stream != nil || c.local != nil
	c.mu.Unlock()
	if begun {
		return c.next(call, deadline)
	}
	return c.first(call, deadline)
}

// Rollback implements pooling.ServerConn.
func (c *senderConn) Rollback(deadline time.Time) (state.Reply, error) {
	return c.next(Call{Operation: OperationRollback}, deadline)
}

// next makes a later call of a transaction.
func (c *senderConn) next(call Call, deadline time.Time) (state.Reply, error) {
	c.mu.Lock()
	stream, local := c.stream, c.local
	c.mu.Unlock()
	var answer Answer
	var err error
	call.Left = time.Until(deadline)
	switch {
	case local != nil:
		answer = local.Call(call)
	case stream != nil:
		answer, err = stream.Call(call, deadline)
	default:
		return state.Reply{}, errClosed
	}
	if err == nil && answer.Refusal != NotRefused {
		err = c.refusedError(answer)
	}
	return answer.Reply, eris.Wrapf(err, "forward to %s", c.holder.Name)
}

// first passes the first statement to a holder, to another one if that refuses,
// and runs it here if none can be reached.
func (c *senderConn) first(call Call, deadline time.Time) (state.Reply, error) {
	answered := false
	failure := errNoHolder
	for _, holder := range c.holders {
		if holder.Name == c.sender.Self {
			answered = false
			break
		}
		answer, err := c.try(holder, call, deadline)
		var unreachable *unreachableError
		switch {
		case errors.As(err, &unreachable):
			count("unreachable")
			c.sender.avoid(holder, err)
			failure = err
			continue
		case err != nil:
			count("lost")
			if errors.Is(err, ErrLinkLost) {
				c.sender.avoid(holder, err)
			}
			return state.Reply{}, err
		case answer.Refusal == NotRefused:
			count("answered")
			c.sender.answered(holder)
			return answer.Reply, nil
		}
		count(answer.Refusal.String())
		failure = c.refusedError(answer)
		if answer.Refusal == RefusedLost {
			return state.Reply{}, failure
		}
		if answer.Refusal == RefusedStopping {
			c.sender.avoid(holder, failure)
		}
		answered = true
		if answer.Refusal == RefusedNoConnection && !time.Now().Before(c.waitUntil) {
			break
		}
	}
	if answered || c.ctx.Err() != nil {
		return state.Reply{}, &pooling.UnsentError{Database: c.server.ID, Cause: failure}
	}
	return c.runHere(call, deadline, failure)
}

var errNoHolder = errors.New("no instance holds connections")

// unreachableError reports that nothing was sent to a holder.
type unreachableError struct {
	holder placement.Instance
	cause  error
}

// Error names the holder and the cause.
func (e *unreachableError) Error() string {
	return fmt.Sprintf("holder %s at %s not reached: %v", e.holder.Name, e.holder.Address, e.cause)
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.cause }

// try passes the first statement to one holder. The error is an unreachableError
// if nothing was sent.
func (c *senderConn) try(holder placement.Instance, call Call, deadline time.Time) (Answer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, openTimeout)
	stream, err := c.sender.Links.Open(ctx, holder.Address)
	cancel()
	if err != nil {
		return Answer{}, &unreachableError{holder, err}
	}
	if !c.use(stream, holder) {
		stream.Close()
		return Answer{}, errClosed
	}
	call.Wait, call.Left = max(0, time.Until(c.waitUntil)), time.Until(deadline)
	answer, err := stream.Call(call, deadline)
	if err == nil && answer.Pinned() {
		return answer, nil
	}
	c.mu.Lock()
	c.stream = nil
	c.mu.Unlock()
	stream.Close()
	if errors.Is(err, ErrNotWritten) {
		return Answer{}, &unreachableError{holder, err}
	}
	return answer, eris.Wrapf(err, "forward to %s", holder.Name)
}

// use sets the stream unless the connection has been closed.
func (c *senderConn) use(stream Stream, holder placement.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.stream, c.holder = stream, holder
	return true
}

// runHere runs the first statement on a connection of this instance.
func (c *senderConn) runHere(call Call, deadline time.Time, cause error) (state.Reply, error) {
	session := c.sender.Local().NewSession()
	session.local = true
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return state.Reply{}, errClosed
	}
	c.local = session
	c.mu.Unlock()
	call.Wait, call.Left = max(0, time.Until(c.waitUntil)), time.Until(deadline)
	answer := session.Call(call)
	if answer.Refusal != NotRefused || answer.Reply.Transaction == state.TransactionNone {
		c.mu.Lock()
		c.local = nil
		c.mu.Unlock()
	}
	count("here_" + answer.Refusal.String())
	if answer.Refusal == NotRefused {
		return answer.Reply, nil
	}
	err := c.refusedError(answer)
	if answer.Refusal == RefusedLost {
		return state.Reply{}, err
	}
	return state.Reply{}, &pooling.UnsentError{Database: c.server.ID, Cause: errors.Join(cause, err)}
}

// refusedError returns the error of an answer that is not the database's reply.
func (c *senderConn) refusedError(answer Answer) error {
	if answer.Refusal == RefusedNoConnection {
		return eris.Wrapf(&pooling.NoConnectionError{Database: c.server.ID, RetryAfter: answer.RetryAfter}, "holder %s", c.holder.Name)
	}
	return &RefusedError{Holder: c.holder.Name, Refusal: answer.Refusal, Detail: answer.Detail}
}

// RefusedError is a holder's refusal of a call.
type RefusedError struct {
	Holder  state.InstanceID
	Refusal Refusal
	Detail  string
}

// Error names the holder and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("holder %s: %s %s", e.Holder, e.Refusal, e.Detail)
}

var errNotForwarded = errors.New("control statements are not forwarded")

// Set implements pooling.ServerConn. Values are sent with each statement.
func (c *senderConn) Set(string, string, time.Time) (state.Reply, error) {
	return state.Reply{}, errNotForwarded
}

// Reset implements pooling.ServerConn.
func (c *senderConn) Reset(time.Time) (state.Reply, error) {
	return state.Reply{}, errNotForwarded
}

// Status implements pooling.ServerConn.
func (c *senderConn) Status(time.Time) (state.ServerStatus, error) {
	return state.ServerStatus{}, errNotForwarded
}

// StepDown implements pooling.ServerConn.
func (c *senderConn) StepDown(state.Term, time.Time) (state.ServerStatus, error) {
	return state.ServerStatus{}, errNotForwarded
}
