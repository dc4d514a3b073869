package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for an answer: the deadline of the pages'
// most patient kind of request.
const answerTimeout = 8 * time.Second

var requestIDs atomic.Uint64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+requestIDs.Add(1)) }

// client is one session of a requester.
type client struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	record *record
	// quiet leaves reads out of the record.
	quiet bool
}

// reply is the proxy's answer to one statement.
type reply struct {
	rows         []string
	proof        string
	code, detail string
	state        string
	err          error
}

func (r reply) ok() bool { return r.err == nil && r.code == "" }

func (r reply) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.code != "":
		return fmt.Sprintf("ERROR %s %s, READY %s", r.code, r.detail, r.state)
	default:
		return fmt.Sprintf("COMPLETE %s %q, READY %s", r.proof, r.rows, r.state)
	}
}

// connect opens a session for a database name.
func connect(e *entry, name, database string, r *record) (*client, error) {
	conn, err := net.DialTimeout("tcp", e.front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, reader: bufio.NewReader(conn), record: r}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name)
	line, err := c.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("refused: %s", strings.TrimSpace(line))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// run sends a statement with a new id and awaits the answer.
func (c *client) run(text string) (id string, answered reply) {
	id = newID()
	return id, c.send(id, text)
}

// send sends a statement and awaits the answer.
func (c *client) send(id, text string) reply {
	noted := !c.quiet || !strings.HasPrefix(text, "READ")
	if noted {
		c.record.note(c.name, "sends %s %s", id, shorten(text))
	}
	c.conn.SetDeadline(time.Now().Add(answerTimeout))
	answered := reply{}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		answered.err = err
	} else {
		answered = c.read()
	}
	if noted {
		c.record.note(c.name, "gets  %s %v", id, answered)
	}
	return answered
}

// read reads one answer.
func (c *client) read() reply {
	var r reply
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return reply{err: err}
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.proof = rest
		case "ERROR":
			r.code, r.detail, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
