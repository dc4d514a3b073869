package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// answer is the answer to one statement.
type answer struct {
	id   string
	rows []string
	// proof is that of a success, code that of an error.
	proof, code string
	state       string
	sent        time.Time
	got         time.Time
}

func (a answer) ok() bool { return a.code == "" && a.proof != "" }

// client is one session.
type client struct {
	name   string
	record *record
	raw    net.Conn
	reader *bufio.Reader
}

// connect opens a session for a database name.
func (c *cluster) connect(p *process, database, name string) (*client, error) {
	raw, err := net.DialTimeout("tcp", p.front(), clientTimeout)
	if err != nil {
		return nil, err
	}
	cl := &client{name: name, record: c.record, raw: raw, reader: bufio.NewReader(raw)}
	if err := cl.send(fmt.Sprintf("CONNECT %s %s", database, name)); err != nil {
		return nil, err
	}
	line, err := cl.line()
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = raw.Close()
		return nil, fmt.Errorf("connect to %s at %s: %q, %w", database, p.name, line, err)
	}
	return cl, nil
}

func (c *client) close() { _ = c.raw.Close() }

func (c *client) send(line string) error {
	_ = c.raw.SetDeadline(time.Now().Add(clientTimeout))
	_, err := c.raw.Write([]byte(line + "\r\n"))
	return err
}

func (c *client) line() (string, error) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query runs a statement. An error means that the session has ended without an answer.
func (c *client) query(text string) (answer, error) {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	if err := c.send("QUERY " + a.id + " " + text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.proof = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state, a.got = rest, time.Now()
			return a, nil
		}
	}
}

// log records a statement and its answer.
func (c *client) log(text string, a answer, err error) {
	switch {
	case err != nil:
		c.record.line("%s: %s %s: no answer, %v", c.name, a.id, text, err)
	case a.code != "":
		c.record.line("%s: %s %s: ERROR %s, READY %s", c.name, a.id, text, a.code, a.state)
	default:
		c.record.line("%s: %s %s: rows %q, COMPLETE %s, READY %s", c.name, a.id, text, a.rows, a.proof, a.state)
	}
}
