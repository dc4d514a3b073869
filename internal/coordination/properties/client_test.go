package properties

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// requestTimeout is how long a client waits for a reply before it cancels the
// request.
const requestTimeout = 15 * time.Second

var errInstanceDown = errors.New("instance is down")

// client is a database client. It has one session at a time and may reconnect
// with or without the session's token.
type client struct {
	cluster *testCluster
	name    string
	random  *rand.Rand
	scope   state.SessionScope

	instance *instance
	session  *session.Session
	// ownWrites are the acknowledged writes of the current session and of the
	// earlier sessions whose token it continues. startedAt is when the first of
	// these sessions began.
	ownWrites []int
	startedAt time.Time
}

// reply is the decoded reply to one statement.
type reply struct {
	tag, code, row string
}

// UnitDone implements session.Observer.
func (c *client) UnitDone(execution.Access, state.GroupID, state.DatabaseID) {}

// reconnect starts a session on a random live instance, with or without the
// token of the previous session.
func (c *client) reconnect(withToken bool) {
	token := state.Position{}
	if c.session != nil {
		token = c.session.MinPosition()
		c.session.Close()
	}
	live := c.cluster.liveInstances()
	c.instance = live[c.random.IntN(len(live))]
	if !withToken || token.IsZero() {
		token, c.ownWrites, c.startedAt = state.Position{}, nil, time.Now()
	}
	identity := session.Identity{Plan: planID, Group: groupID, Scope: c.scope, QueueTimeout: time.Second}
	c.session = session.New(identity, c.instance.router, c.instance.budget, c, token)
}

// runStatement sends one statement and returns its complete reply.
func (c *client) runStatement(sql string, access execution.Access, requestID string, maxAge time.Duration) (reply, error) {
	c.cluster.waitWhileFrozen(c.instance.name)
	if c.instance.isDead() {
		return reply{}, errInstanceDown
	}
	ctx, cancel := context.WithTimeout(c.instance.ctx, requestTimeout)
	defer cancel()
	query := pgproto3.Query{String: sql + " /" + c.name}
	messages, _ := query.Encode(nil)
	unit := execution.Unit{Messages: messages, Access: access, RequestID: requestID}
	var received []byte
	err := c.session.Run(ctx, unit, session.Freshness{MaxAge: maxAge}, func(event execution.Event) error {
		received = append(received, event.Messages...)
		return nil
	})
	c.cluster.waitWhileFrozen(c.instance.name)
	if c.instance.isDead() {
		return reply{}, errInstanceDown
	}
	if err != nil {
		c.recordFailure(err)
		return reply{}, err
	}
	return c.decode(received)
}

func (c *client) recordFailure(err error) {
	failure, ok := state.AsFailure(err)
	c.cluster.withLock(func() {
		if !ok {
			c.cluster.history.recordViolation("%s: no failure: %v", c.name, err)
			return
		}
		c.cluster.history.failures[failure.Reason]++
	})
}

// decode decodes a reply and records a violation unless there is exactly one
// complete reply.
func (c *client) decode(received []byte) (reply, error) {
	var r reply
	frontend := pgproto3.NewFrontend(bytes.NewReader(received), &bytes.Buffer{})
	ready := 0
	for {
		message, err := frontend.Receive()
		if err != nil {
			break
		}
		switch message := message.(type) {
		case *pgproto3.DataRow:
			r.row = string(message.Values[0])
		case *pgproto3.CommandComplete:
			r.tag = string(message.CommandTag)
		case *pgproto3.ErrorResponse:
			r.code = message.Code
		case *pgproto3.ReadyForQuery:
			ready++
		}
	}
	if ready != 1 || (r.tag == "" && r.code == "") {
		c.cluster.withLock(func() { c.cluster.history.recordViolation("%s: reply %q is not one complete reply", c.name, received) })
	}
	return r, nil
}

func isNotRun(err error) bool {
	failure, ok := state.AsFailure(err)
	return ok && failure.Outcome == state.OutcomeNotRun
}

// read runs a read and checks the values that it returned.
func (c *client) read(maxAge time.Duration) error {
	began := time.Now()
	r, err := c.runStatement("read", execution.AccessRead, "", maxAge)
	if err != nil {
		return err
	}
	c.checkRead(r, began, maxAge, c.scope == state.ScopePlan)
	return nil
}

func (c *client) checkRead(r reply, began time.Time, maxAge time.Duration, planScope bool) {
	fields := strings.Fields(r.row)
	if len(fields) < 2 || fields[0] != c.name {
		c.cluster.withLock(func() {
			c.cluster.history.recordViolation("%s: reply %q of another client (%s)", c.name, r.row, r.code)
		})
		return
	}
	var seen []int
	for _, field := range fields[2:] {
		value, _ := strconv.Atoi(field)
		seen = append(seen, value)
	}
	inside := ""
	if c.session.Status() != session.StatusIdle {
		inside = " in a transaction"
	}
	description := fmt.Sprintf("read%s of %s (age %s) from %s", inside, c.name, maxAge, c.session.ServedBy())
	c.cluster.withLock(func() {
		h := &c.cluster.history
		h.reads++
		for _, value := range c.ownWrites {
			if !slices.Contains(seen, value) {
				h.recordViolation("%s misses its own write %d", description, value)
			}
		}
	})
	if maxAge == 0 {
		c.cluster.requireSeen(description, seen, c.requiredBefore(began, planScope))
		return
	}
	// Data that was current when the read began is always fresh enough.
	var required time.Time
	c.cluster.withLock(func() {
		c.cluster.history.boundedReads++
		required = c.cluster.history.receivedAt[fields[1]].Add(-maxAge)
	})
	if began.Before(required) {
		required = began
	}
	c.cluster.requireSeen(description, seen, required)
}

// requiredBefore returns the time such that a read must see every write
// acknowledged before it: the start of the read for plan scope, or else of the
// client's first session.
func (c *client) requiredBefore(began time.Time, planScope bool) time.Time {
	if planScope {
		return began
	}
	return c.startedAt
}

func (c *client) recordWritten(values ...int) {
	c.cluster.recordAcknowledged(values...)
	c.ownWrites = append(c.ownWrites, values...)
}

// write runs one write. With a request id it retries while the outcome is
// unknown.
func (c *client) write(withRequestID bool) error {
	value := c.cluster.newValue()
	requestID := ""
	if withRequestID {
		requestID = fmt.Sprintf("%s-%d", c.name, value)
	}
	unknown := false
	for attempt := 1; ; attempt++ {
		r, err := c.runStatement(fmt.Sprintf("write %d", value), execution.AccessWrite, requestID, 0)
		switch {
		case err == nil && (r.tag == "UPDATE 1" || r.code == execution.SQLStateAlreadyRun):
			c.recordWritten(value)
			return nil
		case err == nil || isNotRun(err):
			if !unknown {
				c.cluster.recordNotRun(fmt.Sprint(r.code, err), value)
			}
			if err == nil {
				err = errRejected
			}
			return err
		}
		unknown = true
		if !withRequestID || attempt == 4 || c.cluster.ctx.Err() != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		c.reconnect(true)
	}
}

// transaction reads and then writes several values in one transaction, which it
// commits or, rarely, rolls back.
func (c *client) transaction() error {
	defer c.cleanUpTransaction()
	began := time.Now()
	if _, err := c.runStatement("BEGIN", execution.AccessWrite, "", 0); err != nil {
		return err
	}
	r, err := c.runStatement("read", execution.AccessWrite, "", 0)
	if err != nil {
		return err
	}
	c.checkRead(r, began, 0, c.scope == state.ScopePlan)
	var values []int
	for range 1 + c.random.IntN(3) {
		value := c.cluster.newValue()
		values = append(values, value)
		r, err := c.runStatement(fmt.Sprintf("write %d", value), execution.AccessWrite, "", 0)
		if err != nil || r.code != "" {
			c.cluster.recordNotRun(fmt.Sprint("in a lost transaction: ", r.code, err), values...)
			return errors.Join(err, errRejected)
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
	if c.random.IntN(6) == 0 {
		_, err := c.runStatement("ROLLBACK", execution.AccessWrite, "", 0)
		c.cluster.recordNotRun("rolled back", values...)
		return err
	}
	r, err = c.runStatement("COMMIT", execution.AccessWrite, "", 0)
	switch {
	case err == nil && r.tag == "COMMIT":
		c.recordWritten(values...)
	case err == nil || isNotRun(err):
		c.cluster.recordNotRun(fmt.Sprint("commit: ", r.code, r.tag, err), values...)
		err = errors.Join(err, errRejected)
	}
	return err
}

// cleanUpTransaction ends a transaction that was lost or left open, as the client
// connection does.
func (c *client) cleanUpTransaction() {
	if c.session.TransactionLost() {
		c.session.EndLostTransaction()
	}
	if c.session.Status() != session.StatusIdle {
		c.session.Abandon()
		c.session.EndLostTransaction()
	}
}

// runWorkload runs random operations until done is closed.
func (c *client) runWorkload(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+c.random.IntN(80)) * time.Millisecond):
		}
		err := c.runRandomOperation()
		if errors.Is(err, errInstanceDown) {
			c.reconnect(c.random.IntN(2) == 0)
		}
	}
}

func (c *client) runRandomOperation() error {
	switch c.random.IntN(12) {
	case 0:
		c.reconnect(true)
		return c.read(0)
	case 1:
		c.reconnect(false)
		return c.read(0)
	case 2:
		c.reconnect(false)
		return c.transaction()
	case 3, 4:
		return c.transaction()
	case 5, 6:
		return c.write(true)
	case 7, 8:
		return c.write(false)
	case 9:
		return c.read(time.Duration(1+c.random.IntN(8)) * 250 * time.Millisecond)
	default:
		return c.read(0)
	}
}

// requireRecovery records a violation unless a write and a read succeed before
// the deadline.
func (c *client) requireRecovery(deadline time.Time) {
	var err error
	for time.Now().Before(deadline) {
		if err = errors.Join(c.write(false), c.read(0)); err == nil {
			return
		}
		if errors.Is(err, errInstanceDown) {
			c.reconnect(true)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.cluster.withLock(func() {
		c.cluster.history.recordViolation("%s was not served after the faults: %v", c.name, err)
	})
}
