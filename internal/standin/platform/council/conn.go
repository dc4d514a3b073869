package council

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Dialer opens in-memory connections on behalf of one caller.
type Dialer struct {
	Caller string
	Groups []*Group
	// Delay is the one-way message latency.
	Delay time.Duration
	// TunnelInstances returns the instances that reach a group's primary, and
	// Partitioned reports whether two callers can't reach each other. Both may
	// be nil.
	TunnelInstances func(state.GroupID) []string
	Partitioned     func(a, b string) bool
}

// errNoListener is returned for an address at which nothing listens.
var errNoListener = errors.New("connection refused")

// Dial implements pooling.Dialer.
func (d *Dialer) Dial(ctx context.Context, server state.Server, workspace state.WorkspaceID) (pooling.ServerConn, error) {
	return d.dialAs(ctx, d.Caller, server, workspace)
}

// DialTunnel implements pooling.Dialer.
func (d *Dialer) DialTunnel(ctx context.Context, server state.Server, workspace state.WorkspaceID) (pooling.ServerConn, error) {
	if d.TunnelInstances == nil {
		return nil, state.ErrNoTunnel
	}
	failure := state.ErrNoTunnel
	for _, instance := range d.TunnelInstances(server.Group) {
		state.Pause(ctx, 2*d.Delay)
		if d.Partitioned(d.Caller, instance) {
			failure = errNoListener
			continue
		}
		return d.dialAs(ctx, instance, server, workspace)
	}
	return nil, failure
}

func (d *Dialer) dialAs(ctx context.Context, caller string, server state.Server, workspace state.WorkspaceID) (pooling.ServerConn, error) {
	for _, group := range d.Groups {
		for _, database := range group.databases {
			if database.Address != server.Address {
				continue
			}
			state.Pause(ctx, 2*d.Delay)
			session, reply, err := database.Connect(ctx, caller, server.Group, server.ID)
			if err != nil {
				return nil, err
			}
			if reply.Code != state.CodeNone {
				return nil, &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
			}
			session.workspace = workspace
			return &conn{session: session, delay: d.Delay}, nil
		}
	}
	return nil, errNoListener
}

// conn implements pooling.Conn on an in-memory session.
type conn struct {
	session *Session
	delay   time.Duration
}

// call runs a statement. A call that misses its deadline leaves the connection
// unusable, but the database goes on running the statement.
func (c *conn) call(id, text string, deadline time.Time, late func()) (state.Reply, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	type result struct {
		reply state.Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		state.Pause(ctx, c.delay)
		reply, err := c.session.Execute(ctx, id, text)
		state.Pause(ctx, c.delay)
		done <- result{reply, err}
	}()
	if late != nil {
		timer := time.AfterFunc(300*time.Millisecond, late)
		defer timer.Stop()
	}
	select {
	case r := <-done:
		return r.reply, r.err
	case <-c.session.Ended():
		return state.Reply{}, errEnded
	case <-ctx.Done():
		return state.Reply{}, errNoResponse
	}
}

// Run implements pooling.Conn.
func (c *conn) Run(statement pooling.Statement, deadline time.Time, late func()) (state.Reply, error) {
	text := statement.Text
	if !statement.After.IsZero() {
		text = "WAITPOS " + strconv.FormatUint(uint64(statement.After.Term), 10) + "." + strconv.FormatUint(statement.After.Offset, 10) + " " + text
	}
	prepare := statement.Prepare
	if prepare == nil {
		return c.call(statement.ID, text, deadline, late)
	}
	prepare.Accepted = c.session.prepare(prepare)
	reply, err := c.call(statement.ID, text, deadline, late)
	if reply.Code == state.CodeNoStatement && !prepare.Accepted {
		reply.Code = state.CodeBusy
	}
	return reply, err
}

// Set implements pooling.Conn.
func (c *conn) Set(name, value string, deadline time.Time) (state.Reply, error) {
	return c.call("-", "SET "+name+" "+value, deadline, nil)
}

// Reset implements pooling.Conn.
func (c *conn) Reset(deadline time.Time) (state.Reply, error) {
	return c.call("-", "RESET", deadline, nil)
}

// Rollback implements pooling.Conn.
func (c *conn) Rollback(deadline time.Time) (state.Reply, error) {
	return c.call("-", "ROLLBACK", deadline, nil)
}

// Status implements pooling.Conn.
func (c *conn) Status(deadline time.Time) (state.ServerStatus, error) {
	return c.status("STATUS", deadline)
}

// StepDown implements pooling.Conn.
func (c *conn) StepDown(term state.Term, deadline time.Time) (state.ServerStatus, error) {
	return c.status("STEPDOWN "+strconv.FormatUint(uint64(term), 10), deadline)
}

func (c *conn) status(text string, deadline time.Time) (state.ServerStatus, error) {
	reply, err := c.call("-", text, deadline, nil)
	if err != nil {
		return state.ServerStatus{}, err
	}
	if reply.Code != state.CodeNone {
		return state.ServerStatus{}, &pooling.RefusedError{Code: reply.Code}
	}
	d := c.session.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return state.ServerStatus{Role: d.role, Term: d.term, Received: d.receivedPosition()}, nil
}

// Alive implements pooling.Conn.
func (c *conn) Alive() bool {
	select {
	case <-c.session.Ended():
		return false
	default:
		return true
	}
}

// Close implements pooling.Conn.
func (c *conn) Close() {
	c.session.Close()
}
