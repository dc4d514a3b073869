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

var errConnectionLost = errors.New("connection lost")

// memConn is a simulated backend connection. Statements wait in inbox until the
// network delivers them and the database runs, even after the instance that sent
// them has died, like bytes in transit. The testCluster's lock guards it.
type memConn struct {
	cluster          *testCluster
	from             *instance
	database         *memDatabase
	epoch            int
	pid              uint32
	inbox            []string
	outbox           []execution.Message
	outputReady      chan struct{} // holds one token after a change of outbox, endedByDatabase or closedByInstance
	inputReady       chan struct{} // holds one token after a change of inbox, endedByDatabase or closedByInstance
	closedByInstance bool
	endedByDatabase  bool // no further messages are added to outbox
	busy             bool

	status  byte
	term    state.Term // term in which the open transaction began
	pending []int      // values written by the open transaction
	request string     // request key inserted by the open transaction
	// rewritesRecord is set if the open transaction updates an existing request
	// record.
	rewritesRecord bool
	// callerTag is the client whose statements the open transaction contains. It
	// is used to detect statements of two clients in one transaction.
	callerTag string
}

// Dial implements execution.Dialer.
func (in *instance) Dial(ctx context.Context, database state.Database) (execution.Backend, error) {
	tc := in.cluster
	if in.isDead() {
		return nil, errDead
	}
	var conn *memConn
	err := tc.call(ctx, in.name, string(database.ID), func() error {
		d := tc.databases[string(database.ID)]
		if len(d.conns) >= database.MaxConnections {
			return errRejected
		}
		tc.nextPID++
		conn = &memConn{
			cluster: tc, from: in, database: d, epoch: d.epoch, pid: tc.nextPID, status: 'I',
			outputReady: make(chan struct{}, 1), inputReady: make(chan struct{}, 1),
		}
		d.conns[conn] = struct{}{}
		return nil
	})
	if conn != nil {
		tc.running.Go(conn.serve)
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

// drop ends the connection on the database's side and rolls back its open
// transaction. The caller holds the lock.
func (c *memConn) drop() {
	delete(c.database.conns, c)
	c.pending, c.request, c.rewritesRecord, c.status = nil, "", false, 'I'
	c.inbox = nil
	c.endedByDatabase = true
	signal(c.outputReady)
	signal(c.inputReady)
}

func (c *memConn) Write(_ context.Context, messages []byte) error {
	c.cluster.waitWhileFrozen(c.from.name)
	if c.from.isDead() {
		return errDead
	}
	frontend := pgproto3.NewBackend(bytes.NewReader(messages), &bytes.Buffer{})
	for {
		message, err := frontend.Receive()
		if err != nil {
			break
		}
		c.cluster.withLock(func() {
			switch message := message.(type) {
			case *pgproto3.Query:
				c.inbox = append(c.inbox, message.String)
			case *pgproto3.Sync:
				c.inbox = append(c.inbox, "")
			}
		})
	}
	lost := c.cluster.checkWithLock(func() bool { return c.endedByDatabase || c.closedByInstance })
	signal(c.inputReady)
	if lost {
		return errConnectionLost
	}
	return nil
}

func (c *memConn) Receive(ctx context.Context) (execution.Message, error) {
	for {
		var message execution.Message
		found, ended := false, false
		c.cluster.withLock(func() {
			if len(c.outbox) > 0 && !c.closedByInstance {
				message, c.outbox, found = c.outbox[0], c.outbox[1:], true
			}
			ended = c.endedByDatabase || c.closedByInstance
		})
		c.cluster.waitWhileFrozen(c.from.name)
		switch {
		case c.from.isDead():
			return message, errDead
		case found:
			c.recordReceived(message)
			return message, nil
		case ended:
			return message, errConnectionLost
		}
		select {
		case <-c.outputReady:
		case <-ctx.Done():
			return message, ctx.Err()
		}
	}
}

// recordReceived records when the owner received the row of a read.
func (c *memConn) recordReceived(message execution.Message) {
	if message.Type != 'D' {
		return
	}
	fields := strings.Fields(string(message.Raw[11:]))
	if len(fields) >= 2 {
		c.cluster.withLock(func() { c.cluster.history.receivedAt[fields[1]] = time.Now() })
	}
}

func (c *memConn) Buffered() bool {
	return c.cluster.checkWithLock(func() bool { return len(c.outbox) > 0 })
}

func (c *memConn) PID() uint32                  { return c.pid }
func (c *memConn) Cancel(context.Context) error { return nil }

func (c *memConn) Close() {
	c.cluster.withLock(func() {
		c.closedByInstance = true
		signal(c.outputReady)
		signal(c.inputReady)
	})
}

// waitForPath waits until a message can be delivered from one end to the other.
// It returns false if the connection ends first.
func (c *memConn) waitForPath(from, to string) bool {
	for {
		blocked, ended := false, false
		c.cluster.withLock(func() {
			tc := c.cluster
			blocked = tc.partitioned[[2]string{from, to}] || tc.frozen[c.database.id]
			ended = c.endedByDatabase || c.database.down || c.database.epoch != c.epoch
		})
		if ended || c.cluster.ctx.Err() != nil {
			return false
		}
		if !blocked {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// serve simulates the database process that serves the connection.
func (c *memConn) serve() {
	defer c.cluster.withLock(func() { c.drop() })
	for c.cluster.ctx.Err() == nil {
		sql, found, closed := "", false, false
		c.cluster.withLock(func() {
			if len(c.inbox) > 0 {
				sql, c.inbox, found = c.inbox[0], c.inbox[1:], true
				c.busy = true
			}
			closed = c.closedByInstance || c.from.dead
		})
		if !found {
			if closed && c.waitForPath(c.from.name, c.database.id) {
				return
			}
			if closed {
				return
			}
			select {
			case <-c.inputReady:
			case <-c.cluster.ctx.Done():
			}
			if c.cluster.checkWithLock(func() bool { return c.endedByDatabase }) {
				return
			}
			continue
		}
		time.Sleep(networkDelay)
		if !c.waitForPath(c.from.name, c.database.id) {
			return
		}
		messages := c.execute(sql)
		time.Sleep(networkDelay)
		if !c.waitForPath(c.database.id, c.from.name) {
			return
		}
		c.cluster.withLock(func() {
			if c.endedByDatabase {
				return
			}
			c.outbox = append(c.outbox, messages...)
			c.busy = false
			signal(c.outputReady)
		})
	}
}

// execute runs one statement and encodes its reply.
func (c *memConn) execute(sql string) []execution.Message {
	if strings.HasPrefix(sql, "INSERT INTO cyclamenpin_requests") {
		c.waitForRequestKey(requestKey(sql))
	}
	var messages []pgproto3.BackendMessage
	c.cluster.withLock(func() {
		if c.endedByDatabase {
			return
		}
		messages = append(c.runStatement(sql), &pgproto3.ReadyForQuery{TxStatus: c.status})
	})
	encoded := make([]execution.Message, 0, len(messages))
	for _, message := range messages {
		raw, _ := message.Encode(nil)
		encoded = append(encoded, execution.Message{Type: raw[0], Raw: raw})
	}
	return encoded
}

// waitForRequestKey waits until no other open transaction has inserted the key,
// as a unique index does.
func (c *memConn) waitForRequestKey(key string) {
	for {
		taken := c.cluster.checkWithLock(func() bool {
			for other := range c.database.conns {
				if other != c && other.request == key {
					return true
				}
			}
			return false
		})
		if !taken || c.cluster.ctx.Err() != nil || c.cluster.checkWithLock(func() bool { return c.endedByDatabase }) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func requestKey(sql string) string {
	fields := strings.Split(sql, "'")
	if strings.HasPrefix(sql, "SELECT") {
		return fields[5] + "/" + fields[7]
	}
	return fields[1] + "/" + fields[3]
}

func commandComplete(text string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(text)}}
}

func singleRow(text string) []pgproto3.BackendMessage {
	return append([]pgproto3.BackendMessage{
		&pgproto3.RowDescription{}, &pgproto3.DataRow{Values: [][]byte{[]byte(text)}},
	}, commandComplete("SELECT 1")...)
}

func (c *memConn) reject(code string) []pgproto3.BackendMessage {
	if c.status == 'T' {
		c.status = 'E'
	}
	return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: code, Message: "refused"}}
}

// runStatement executes one statement. The statements of clients are "write N",
// "read", "BEGIN", "COMMIT" and "ROLLBACK", each followed by " /" and the
// client's name.
func (c *memConn) runStatement(sql string) []pgproto3.BackendMessage {
	command, caller, _ := strings.Cut(sql, " /")
	if c.status != 'I' && caller != "" {
		if c.callerTag != "" && c.callerTag != caller {
			c.cluster.history.recordViolation("statements of %s and %s in one transaction", c.callerTag, caller)
		}
		c.callerTag = caller
	}
	switch {
	case command == "":
		return nil
	case command == "BEGIN":
		c.status, c.term, c.callerTag = 'T', c.database.term, caller
		return commandComplete("BEGIN")
	case command == "ROLLBACK":
		c.pending, c.request, c.rewritesRecord, c.status = nil, "", false, 'I'
		return commandComplete("ROLLBACK")
	case command == "COMMIT":
		return c.commit("COMMIT")
	case strings.HasPrefix(command, "RESET ALL"):
		return commandComplete("SELECT 1")
	case c.status == 'E':
		return c.reject("25P02")
	case strings.HasPrefix(command, "INSERT INTO cyclamenpin_requests"):
		return c.insertRequest(requestKey(command))
	case strings.HasPrefix(command, "SELECT CASE"):
		return singleRow("-UPDATE 1")
	case strings.HasPrefix(command, "UPDATE cyclamenpin_requests SET created_at_ms"):
		c.rewritesRecord = true
		return commandComplete("UPDATE 1")
	case strings.HasPrefix(command, "UPDATE cyclamenpin_requests"):
		return commandComplete("UPDATE 1")
	case strings.HasPrefix(command, "write "):
		return c.write(command)
	case command == "read":
		values := fmt.Sprint(append(slices.Clip(c.database.values()), c.pending...))
		c.cluster.history.lastRead++
		return singleRow(fmt.Sprintf("%s %d %s", caller, c.cluster.history.lastRead, strings.Trim(values, "[]")))
	default:
		return c.reject("42601")
	}
}

func (c *memConn) insertRequest(key string) []pgproto3.BackendMessage {
	if c.database.role != state.RolePrimary {
		return c.reject("25006")
	}
	if c.database.hasRequest(key) {
		return commandComplete("INSERT 0 0")
	}
	c.request = key
	return commandComplete("INSERT 0 1")
}

func (c *memConn) write(command string) []pgproto3.BackendMessage {
	if c.database.role != state.RolePrimary {
		return c.reject("25006")
	}
	value := 0
	_, _ = fmt.Sscanf(command, "write %d", &value)
	c.pending = append(c.pending, value)
	if c.status == 'T' {
		return commandComplete("UPDATE 1")
	}
	c.term = c.database.term
	return c.commit("UPDATE 1")
}

// commit appends the open transaction to the log if the database is still the
// primary in the term in which the transaction began.
func (c *memConn) commit(commandTag string) []pgproto3.BackendMessage {
	pending, request, rewritesRecord, failed := c.pending, c.request, c.rewritesRecord, c.status == 'E'
	c.pending, c.request, c.rewritesRecord, c.status = nil, "", false, 'I'
	if failed {
		return commandComplete("ROLLBACK")
	}
	if len(pending) == 0 && request == "" && !rewritesRecord {
		return commandComplete(commandTag)
	}
	d := c.database
	if d.role != state.RolePrimary || d.term != c.term {
		return c.reject("25006")
	}
	d.log = append(slices.Clip(d.log), entry{term: d.term, values: pending, request: request})
	position := &pgproto3.ParameterStatus{Name: "log_position", Value: d.position().String()}
	return append([]pgproto3.BackendMessage{position}, commandComplete(commandTag)...)
}

// activityProbe returns a probe that reports whether the database process with
// the given PID is running a statement.
func (in *instance) activityProbe(database string) execution.ActivityProbe {
	return func(ctx context.Context, pid uint32) (bool, error) {
		busy := false
		err := in.cluster.call(ctx, in.name, database, func() error {
			for conn := range in.cluster.databases[database].conns {
				busy = busy || (conn.pid == pid && conn.busy)
			}
			return nil
		})
		return busy, err
	}
}
