package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

// answerBound is how long a client waits for an answer; statements time out
// after two seconds.
const answerBound = 5 * time.Second

var statements atomic.Uint64

// client is one session. It goes on until its connection ends.
type client struct {
	conn    net.Conn
	reader  *bufio.Reader
	history *standin.History
	route   state.Consistency
	floor   string
}

var routes = map[string]state.Consistency{"desk": state.ConsistencyPrimary, "cab": state.ConsistencySession}

// dial opens a session at an instance.
func dial(address, route string, history *standin.History) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn), history: history, route: routes[route]}
	_ = conn.SetDeadline(time.Now().Add(answerBound))
	if _, err := fmt.Fprintf(conn, "CONNECT %s u1\r\n", route); err != nil {
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil || line[:min(5, len(line))] != "READY" {
		_ = conn.Close()
		return nil, fmt.Errorf("startup: %q: %w", line, err)
	}
	return c, nil
}

// do runs a statement. Without an answer, the error says so.
func (c *client) do(text string) (id string, reply state.Reply, err error) {
	id = "s" + strconv.FormatUint(statements.Add(1), 10)
	_ = c.conn.SetDeadline(time.Now().Add(answerBound))
	if _, err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, reply, err
	}
	reply, err = platform.Codec{}.ReadReply(c.reader)
	if err != nil {
		reply.Code = state.CodeUnknown
	}
	return id, reply, err
}

// operations runs operations until the session ends or stop is closed.
func (c *client) operations(random *rand.Rand, stop <-chan struct{}) {
	defer c.conn.Close()
	for n := 1 + random.IntN(30); n > 0; n-- {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(80)) * time.Millisecond):
		}
		if err := c.operation(random); err != nil {
			return
		}
	}
}

func (c *client) operation(random *rand.Rand) error {
	item := strconv.Itoa(random.IntN(20))
	switch random.IntN(4) {
	case 0:
		id, reply, err := c.do("WRITE " + item + " x")
		c.history.RecordWrites([]string{id}, reply.Code)
		if reply.Code == state.CodeNone {
			c.floor = id
		}
		return err
	case 1:
		return c.transaction(random, item)
	default:
		arrived := time.Now()
		id, reply, err := c.do("READ " + item)
		if err == nil && reply.Code == state.CodeNone {
			c.history.RecordRead(standin.ObservedRead{ID: id, Proof: reply.Proof, Started: arrived, Consistency: c.route, LastWrite: c.floor})
		}
		return err
	}
}

func (c *client) transaction(random *rand.Rand, item string) error {
	if _, reply, err := c.do("BEGIN"); err != nil || reply.Code != state.CodeNone {
		return err
	}
	var ids []string
	for range 1 + random.IntN(3) {
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		id, reply, err := c.do("WRITE " + item + " y")
		ids = append(ids, id)
		if err != nil || reply.Code != state.CodeNone {
			// Its COMMIT is never sent, so nothing may be kept.
			c.history.RecordWrites(ids, state.CodeAborted)
			if err == nil {
				_, _, err = c.do("ROLLBACK")
			}
			return err
		}
	}
	if random.IntN(5) == 0 {
		c.history.RecordWrites(ids, state.CodeAborted)
		_, _, err := c.do("ROLLBACK")
		return err
	}
	_, reply, err := c.do("COMMIT")
	c.history.RecordWrites(ids, reply.Code)
	if reply.Code == state.CodeNone {
		c.floor = ids[0]
	}
	return err
}
