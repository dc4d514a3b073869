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

// opTimeout is how long a client waits for an answer before it goes away.
const opTimeout = 15 * time.Second

var errGone = errors.New("instance gone")

// client is a caller. It has one session at a time and may move with or
// without its token.
type client struct {
	world  *world
	name   string
	random *rand.Rand
	scope  state.SessionScope

	entry   *instance
	session *session.Session
	// own are the writes that the session or those whose token it brought saw
	// acknowledged, and arrived is when the first of these sessions began.
	own     []int
	arrived time.Time
}

// answer is what a client got.
type answer struct {
	tag, code, row string
}

// UnitDone implements session.Observer.
func (c *client) UnitDone(execution.Access, state.GroupID, state.DatabaseID) {}

// move begins a session on a living instance, with the old one's token or not.
func (c *client) move(withToken bool) {
	token := state.Position{}
	if c.session != nil {
		token = c.session.MinPosition()
		c.session.Close()
	}
	living := c.world.living()
	c.entry = living[c.random.IntN(len(living))]
	if !withToken || token.IsZero() {
		token, c.own, c.arrived = state.Position{}, nil, time.Now()
	}
	identity := session.Identity{Plan: planID, Group: groupID, Scope: c.scope, QueueTimeout: time.Second}
	c.session = session.New(identity, c.entry.router, c.entry.budget, c, token)
}

// run sends one statement and returns its whole answer.
func (c *client) run(sql string, access execution.Access, requestID string, maxAge time.Duration) (answer, error) {
	c.world.await(c.entry.name)
	if c.entry.isDead() {
		return answer{}, errGone
	}
	ctx, cancel := context.WithTimeout(c.entry.ctx, opTimeout)
	defer cancel()
	query := pgproto3.Query{String: sql + " /" + c.name}
	messages, _ := query.Encode(nil)
	unit := execution.Unit{Messages: messages, Access: access, RequestID: requestID}
	var received []byte
	err := c.session.Run(ctx, unit, session.Freshness{MaxAge: maxAge}, func(event execution.Event) error {
		received = append(received, event.Messages...)
		return nil
	})
	c.world.await(c.entry.name)
	if c.entry.isDead() {
		return answer{}, errGone
	}
	if err != nil {
		c.countRefusal(err)
		return answer{}, err
	}
	return c.decode(received)
}

func (c *client) countRefusal(err error) {
	failure, ok := state.AsFailure(err)
	c.world.do(func() {
		if !ok {
			c.world.history.violate("%s: no failure: %v", c.name, err)
			return
		}
		c.world.history.refused[failure.Reason]++
	})
}

// decode requires one whole answer.
func (c *client) decode(received []byte) (answer, error) {
	var a answer
	frontend := pgproto3.NewFrontend(bytes.NewReader(received), &bytes.Buffer{})
	ready := 0
	for {
		message, err := frontend.Receive()
		if err != nil {
			break
		}
		switch message := message.(type) {
		case *pgproto3.DataRow:
			a.row = string(message.Values[0])
		case *pgproto3.CommandComplete:
			a.tag = string(message.CommandTag)
		case *pgproto3.ErrorResponse:
			a.code = message.Code
		case *pgproto3.ReadyForQuery:
			ready++
		}
	}
	if ready != 1 || (a.tag == "" && a.code == "") {
		c.world.do(func() { c.world.history.violate("%s: answer %q is not one whole answer", c.name, received) })
	}
	return a, nil
}

func isNotRun(err error) bool {
	failure, ok := state.AsFailure(err)
	return ok && failure.Outcome == state.OutcomeNotRun
}

// read reads and checks what it saw.
func (c *client) read(maxAge time.Duration) error {
	began := time.Now()
	a, err := c.run("read", execution.AccessRead, "", maxAge)
	if err != nil {
		return err
	}
	c.checkRead(a, began, maxAge, c.scope == state.ScopePlan)
	return nil
}

func (c *client) checkRead(a answer, began time.Time, maxAge time.Duration, seesAll bool) {
	fields := strings.Fields(a.row)
	if len(fields) < 2 || fields[0] != c.name {
		c.world.do(func() { c.world.history.violate("%s: answer %q of another (%s)", c.name, a.row, a.code) })
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
	what := fmt.Sprintf("read%s of %s (age %s) from %s", inside, c.name, maxAge, c.session.ServedBy())
	c.world.do(func() {
		h := &c.world.history
		h.reads++
		for _, value := range c.own {
			if !slices.Contains(seen, value) {
				h.violate("%s misses its own write %d", what, value)
			}
		}
	})
	if maxAge == 0 {
		c.world.requireSeen(what, seen, c.sees(began, seesAll))
		return
	}
	// Data that was newest when the read began is always good enough.
	var used time.Time
	c.world.do(func() {
		c.world.history.ages++
		used = c.world.history.received[fields[1]].Add(-maxAge)
	})
	if began.Before(used) {
		used = began
	}
	c.world.requireSeen(what, seen, used)
}

// sees returns the time before which all that was acknowledged must be seen.
func (c *client) sees(began time.Time, all bool) time.Time {
	if all {
		return began
	}
	return c.arrived
}

func (c *client) noteWritten(values ...int) {
	c.world.acknowledged(values...)
	c.own = append(c.own, values...)
}

// write writes once, or under a request id until the outcome is known.
func (c *client) write(withID bool) error {
	value := c.world.newValue()
	id := ""
	if withID {
		id = fmt.Sprintf("%s-%d", c.name, value)
	}
	unknown := false
	for attempt := 1; ; attempt++ {
		a, err := c.run(fmt.Sprintf("write %d", value), execution.AccessWrite, id, 0)
		switch {
		case err == nil && (a.tag == "UPDATE 1" || a.code == execution.SQLStateAlreadyRun):
			c.noteWritten(value)
			return nil
		case err == nil || isNotRun(err):
			if !unknown {
				c.world.surelyNotRun(fmt.Sprint(a.code, err), value)
			}
			if err == nil {
				err = errDenied
			}
			return err
		}
		unknown = true
		if !withID || attempt == 4 || c.world.ctx.Err() != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		c.move(true)
	}
}

// transaction writes several values in one transaction, and reads in it.
func (c *client) transaction() error {
	defer c.endTransaction()
	began := time.Now()
	if _, err := c.run("BEGIN", execution.AccessWrite, "", 0); err != nil {
		return err
	}
	a, err := c.run("read", execution.AccessWrite, "", 0)
	if err != nil {
		return err
	}
	c.checkRead(a, began, 0, c.scope == state.ScopePlan)
	var values []int
	for range 1 + c.random.IntN(3) {
		value := c.world.newValue()
		values = append(values, value)
		a, err := c.run(fmt.Sprintf("write %d", value), execution.AccessWrite, "", 0)
		if err != nil || a.code != "" {
			c.world.surelyNotRun(fmt.Sprint("in a lost transaction: ", a.code, err), values...)
			return errors.Join(err, errDenied)
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
	if c.random.IntN(6) == 0 {
		_, err := c.run("ROLLBACK", execution.AccessWrite, "", 0)
		c.world.surelyNotRun("rolled back", values...)
		return err
	}
	a, err = c.run("COMMIT", execution.AccessWrite, "", 0)
	switch {
	case err == nil && a.tag == "COMMIT":
		c.noteWritten(values...)
	case err == nil || isNotRun(err):
		c.world.surelyNotRun(fmt.Sprint("commit: ", a.code, a.tag, err), values...)
		err = errors.Join(err, errDenied)
	}
	return err
}

// endTransaction does what the client connection does at a lost transaction.
func (c *client) endTransaction() {
	if c.session.TransactionLost() {
		c.session.EndLostTransaction()
	}
	if c.session.Status() != session.StatusIdle {
		c.session.Abandon()
		c.session.EndLostTransaction()
	}
}

// work goes on until done is closed.
func (c *client) work(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+c.random.IntN(80)) * time.Millisecond):
		}
		err := c.act()
		if errors.Is(err, errGone) {
			c.move(c.random.IntN(2) == 0)
		}
	}
}

func (c *client) act() error {
	switch c.random.IntN(12) {
	case 0:
		c.move(true)
		return c.read(0)
	case 1:
		c.move(false)
		return c.read(0)
	case 2:
		c.move(false)
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

// recover requires a read and a write to succeed by a deadline.
func (c *client) recover(deadline time.Time) {
	var err error
	for time.Now().Before(deadline) {
		if err = errors.Join(c.write(false), c.read(0)); err == nil {
			return
		}
		if errors.Is(err, errGone) {
			c.move(true)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.world.do(func() { c.world.history.violate("%s was not served after the faults: %v", c.name, err) })
}
