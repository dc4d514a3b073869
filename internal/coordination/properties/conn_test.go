package properties

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var errCut = errors.New("connection lost")

// memConn is one backend connection. What was written waits in inbox until the
// path and the database let it through, also after the writer has gone, as the
// bytes in a network do. The world's lock guards it.
type memConn struct {
	world    *world
	from     *instance
	database *memDatabase
	epoch    int
	pid      uint32
	inbox    []string
	outbox   []execution.Message
	arrived  chan struct{} // holds one token when outbox or ended changed
	work     chan struct{} // holds one token when inbox or closed changed
	closed   bool          // by the instance
	ended    bool          // no message comes any more
	busy     bool

	status  byte
	term    state.Term // in which the open transaction began
	pending []int
	request string // of the open transaction
	// confirms is set when the open transaction writes a record once more.
	confirms bool
	// tags names the callers' statements of the open transaction, to find
	// statements of two callers on one connection.
	ownerTag string
}

// Dial implements execution.Dialer.
func (in *instance) Dial(ctx context.Context, database state.Database) (execution.Backend, error) {
	w := in.world
	if in.isDead() {
		return nil, errDead
	}
	var conn *memConn
	err := w.call(ctx, in.name, string(database.ID), func() error {
		d := w.databases[string(database.ID)]
		if len(d.conns) >= database.MaxConnections {
			return errDenied
		}
		w.nextPID++
		conn = &memConn{
			world: w, from: in, database: d, epoch: d.epoch, pid: w.nextPID, status: 'I',
			arrived: make(chan struct{}, 1), work: make(chan struct{}, 1),
		}
		d.conns[conn] = struct{}{}
		return nil
	})
	if conn != nil {
		w.running.Go(conn.serve)
		if err != nil {
			conn.Close()
		}
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// dropped ends the connection at the database. The caller holds the lock.
func (c *memConn) dropped() {
	delete(c.database.conns, c)
	c.pending, c.request, c.confirms, c.status = nil, "", false, 'I'
	c.inbox = nil
	c.ended = true
	signal(c.arrived)
	signal(c.work)
}

func (c *memConn) Write(_ context.Context, messages []byte) error {
	c.world.await(c.from.name)
	if c.from.isDead() {
		return errDead
	}
	frontend := pgproto3.NewBackend(bytes.NewReader(messages), &bytes.Buffer{})
	for {
		message, err := frontend.Receive()
		if err != nil {
			break
		}
		c.world.do(func() {
			switch message := message.(type) {
			case *pgproto3.Query:
				c.inbox = append(c.inbox, message.String)
			case *pgproto3.Sync:
				c.inbox = append(c.inbox, "")
			}
		})
	}
	lost := c.world.is(func() bool { return c.ended || c.closed })
	signal(c.work)
	if lost {
		return errCut
	}
	return nil
}

func (c *memConn) Receive(ctx context.Context) (execution.Message, error) {
	for {
		var message execution.Message
		found, over := false, false
		c.world.do(func() {
			if len(c.outbox) > 0 && !c.closed {
				message, c.outbox, found = c.outbox[0], c.outbox[1:], true
			}
			over = c.ended || c.closed
		})
		c.world.await(c.from.name)
		switch {
		case c.from.isDead():
			return message, errDead
		case found:
			c.noteReceived(message)
			return message, nil
		case over:
			return message, errCut
		}
		select {
		case <-c.arrived:
		case <-ctx.Done():
			return message, ctx.Err()
		}
	}
}

// noteReceived keeps when the owner took in the row of a read.
func (c *memConn) noteReceived(message execution.Message) {
	if message.Type != 'D' {
		return
	}
	fields := strings.Fields(string(message.Raw[11:]))
	if len(fields) >= 2 {
		c.world.do(func() { c.world.history.received[fields[1]] = time.Now() })
	}
}

func (c *memConn) Buffered() bool {
	return c.world.is(func() bool { return len(c.outbox) > 0 })
}

func (c *memConn) PID() uint32                  { return c.pid }
func (c *memConn) Cancel(context.Context) error { return nil }

func (c *memConn) Close() {
	c.world.do(func() {
		c.closed = true
		signal(c.arrived)
		signal(c.work)
	})
}

// passes waits until a message can go from one end to the other; false once
// the connection is over.
func (c *memConn) passes(from, to string) bool {
	for {
		blocked, over := false, false
		c.world.do(func() {
			w := c.world
			blocked = w.cut[[2]string{from, to}] || w.frozen[c.database.id]
			over = c.ended || c.database.down || c.database.epoch != c.epoch
		})
		if over || c.world.ctx.Err() != nil {
			return false
		}
		if !blocked {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// serve is the database's process for the connection.
func (c *memConn) serve() {
	defer c.world.do(func() { c.dropped() })
	for c.world.ctx.Err() == nil {
		sql, some, closed := "", false, false
		c.world.do(func() {
			if len(c.inbox) > 0 {
				sql, c.inbox, some = c.inbox[0], c.inbox[1:], true
				c.busy = true
			}
			closed = c.closed || c.from.dead
		})
		if !some {
			if closed && c.passes(c.from.name, c.database.id) {
				return
			}
			if closed {
				return
			}
			select {
			case <-c.work:
			case <-c.world.ctx.Done():
			}
			if c.world.is(func() bool { return c.ended }) {
				return
			}
			continue
		}
		time.Sleep(hop)
		if !c.passes(c.from.name, c.database.id) {
			return
		}
		answer := c.execute(sql)
		time.Sleep(hop)
		if !c.passes(c.database.id, c.from.name) {
			return
		}
		c.world.do(func() {
			if c.ended {
				return
			}
			c.outbox = append(c.outbox, answer...)
			c.busy = false
			signal(c.arrived)
		})
	}
}

// execute runs one statement and encodes its answer.
func (c *memConn) execute(sql string) []execution.Message {
	if strings.HasPrefix(sql, "INSERT INTO cyclamenpin_requests") {
		c.awaitRequest(ledgerKey(sql))
	}
	var messages []pgproto3.BackendMessage
	c.world.do(func() {
		if c.ended {
			return
		}
		messages = append(c.run(sql), &pgproto3.ReadyForQuery{TxStatus: c.status})
	})
	encoded := make([]execution.Message, 0, len(messages))
	for _, message := range messages {
		raw, _ := message.Encode(nil)
		encoded = append(encoded, execution.Message{Type: raw[0], Raw: raw})
	}
	return encoded
}

// awaitRequest waits as a unique index does for the open transaction that
// inserted the key.
func (c *memConn) awaitRequest(key string) {
	for {
		taken := c.world.is(func() bool {
			for other := range c.database.conns {
				if other != c && other.request == key {
					return true
				}
			}
			return false
		})
		if !taken || c.world.ctx.Err() != nil || c.world.is(func() bool { return c.ended }) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func ledgerKey(sql string) string {
	fields := strings.Split(sql, "'")
	if strings.HasPrefix(sql, "SELECT") {
		return fields[5] + "/" + fields[7]
	}
	return fields[1] + "/" + fields[3]
}

func tag(text string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(text)}}
}

func row(text string) []pgproto3.BackendMessage {
	return append([]pgproto3.BackendMessage{
		&pgproto3.RowDescription{}, &pgproto3.DataRow{Values: [][]byte{[]byte(text)}},
	}, tag("SELECT 1")...)
}

func (c *memConn) refuse(code string) []pgproto3.BackendMessage {
	if c.status == 'T' {
		c.status = 'E'
	}
	return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: code, Message: "refused"}}
}

// run executes one statement. Callers' statements are "write N", "read" and
// the ends of transactions, each with the caller's tag after a "/".
func (c *memConn) run(sql string) []pgproto3.BackendMessage {
	command, caller, _ := strings.Cut(sql, " /")
	if c.status != 'I' && caller != "" {
		if c.ownerTag != "" && c.ownerTag != caller {
			c.world.history.violate("statements of %s and %s in one transaction", c.ownerTag, caller)
		}
		c.ownerTag = caller
	}
	switch {
	case command == "":
		return nil
	case command == "BEGIN":
		c.status, c.term, c.ownerTag = 'T', c.database.term, caller
		return tag("BEGIN")
	case command == "ROLLBACK":
		c.pending, c.request, c.confirms, c.status = nil, "", false, 'I'
		return tag("ROLLBACK")
	case command == "COMMIT":
		return c.commit("COMMIT")
	case strings.HasPrefix(command, "RESET ALL"):
		return tag("SELECT 1")
	case c.status == 'E':
		return c.refuse("25P02")
	case strings.HasPrefix(command, "INSERT INTO cyclamenpin_requests"):
		return c.insertRequest(ledgerKey(command))
	case strings.HasPrefix(command, "SELECT CASE"):
		return row("-UPDATE 1")
	case strings.HasPrefix(command, "UPDATE cyclamenpin_requests SET created_at_ms"):
		c.confirms = true
		return tag("UPDATE 1")
	case strings.HasPrefix(command, "UPDATE cyclamenpin_requests"):
		return tag("UPDATE 1")
	case strings.HasPrefix(command, "write "):
		return c.write(command)
	case command == "read":
		values := fmt.Sprint(append(slices.Clip(c.database.values()), c.pending...))
		c.world.history.lastRead++
		return row(fmt.Sprintf("%s %d %s", caller, c.world.history.lastRead, strings.Trim(values, "[]")))
	default:
		return c.refuse("42601")
	}
}

func (c *memConn) insertRequest(key string) []pgproto3.BackendMessage {
	if c.database.role != state.RolePrimary {
		return c.refuse("25006")
	}
	if c.database.hasRequest(key) {
		return tag("INSERT 0 0")
	}
	c.request = key
	return tag("INSERT 0 1")
}

func (c *memConn) write(command string) []pgproto3.BackendMessage {
	if c.database.role != state.RolePrimary {
		return c.refuse("25006")
	}
	value := 0
	_, _ = fmt.Sscanf(command, "write %d", &value)
	c.pending = append(c.pending, value)
	if c.status == 'T' {
		return tag("UPDATE 1")
	}
	c.term = c.database.term
	return c.commit("UPDATE 1")
}

// commit appends the open transaction to the log, if the database is still the
// primary of the term in which it began.
func (c *memConn) commit(commandTag string) []pgproto3.BackendMessage {
	pending, request, confirms, failed := c.pending, c.request, c.confirms, c.status == 'E'
	c.pending, c.request, c.confirms, c.status = nil, "", false, 'I'
	if failed {
		return tag("ROLLBACK")
	}
	if len(pending) == 0 && request == "" && !confirms {
		return tag(commandTag)
	}
	d := c.database
	if d.role != state.RolePrimary || d.term != c.term {
		return c.refuse("25006")
	}
	d.log = append(slices.Clip(d.log), entry{term: d.term, values: pending, request: request})
	position := &pgproto3.ParameterStatus{Name: "log_position", Value: d.position().String()}
	return append([]pgproto3.BackendMessage{position}, tag(commandTag)...)
}

// running tells whether the connection of a process runs a statement.
func (in *instance) running(database string) execution.ActivityProbe {
	return func(ctx context.Context, pid uint32) (bool, error) {
		busy := false
		err := in.world.call(ctx, in.name, database, func() error {
			for conn := range in.world.databases[database].conns {
				busy = busy || (conn.pid == pid && conn.busy)
			}
			return nil
		})
		return busy, err
	}
}
