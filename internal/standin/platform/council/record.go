package council

import (
	"bufio"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Run is a statement that a database received over the wire, and the reply that it sent.
type Run struct {
	Database state.DatabaseID
	// Caller is who opened the connection, Connection its number.
	Caller     string
	Connection uint64
	// Text is the exact text, without a minimum position.
	ID, Text string
	// Prepared is what the name was prepared as that the statement executes.
	Prepared string
	// Values holds the session values.
	Values map[string]string
	// Transaction is the number of the transaction that was open, 0 if none was.
	Transaction        uint64
	Received, Answered time.Time
	Reply              state.Reply
	// Repeats holds the times at which the reply was sent again.
	Repeats []time.Time
}

// Ran reports whether the run is that of a statement with the given text. The name of a
// prepared statement may differ.
func (r Run) Ran(text string) bool { return withoutName(r.Text) == withoutName(text) }

func withoutName(text string) string {
	if arguments, found := strings.CutPrefix(text, "EXECUTE "); found {
		_, arguments, _ = strings.Cut(arguments, " ")
		return "EXECUTE " + arguments
	}
	return text
}

// Repeats configures which replies databases send again on the same connection.
type Repeats struct {
	Seed uint64
	// Share is the share of replies that are repeated, Times how often each is, and
	// MaxDelay how long after the reply or the last repeat at most.
	Share    float64
	Times    int
	MaxDelay time.Duration
	// Errors and Proofless include error replies and successes without a proof. Those
	// with a proof are always included.
	Errors, Proofless bool
	// Refused is the share of statements that are refused as by an overloaded database.
	Refused float64
	// Late is the share of replies that come LateBy after the statement has run.
	Late   float64
	LateBy time.Duration
}

// recording is what the databases of a group did, and which replies they repeat.
type recording struct {
	mu      sync.Mutex
	enabled bool
	runs    []*Run
	repeats Repeats
	random  *rand.Rand
}

// connections and transactions count those of all databases.
var connections, transactions atomic.Uint64

// Record starts a record of what the databases run over the wire.
func (g *Group) Record() {
	g.recording.mu.Lock()
	defer g.recording.mu.Unlock()
	g.recording.enabled = true
}

// Runs returns what the databases have run since Record.
func (g *Group) Runs() []Run {
	g.recording.mu.Lock()
	defer g.recording.mu.Unlock()
	runs := make([]Run, 0, len(g.recording.runs))
	for _, run := range g.recording.runs {
		runs = append(runs, *run)
	}
	return runs
}

// SetRepeats sets which replies are repeated from now on.
func (g *Group) SetRepeats(repeats Repeats) {
	g.recording.mu.Lock()
	defer g.recording.mu.Unlock()
	g.recording.repeats, g.recording.random = repeats, rand.New(rand.NewPCG(repeats.Seed, 11))
}

func (r *recording) add(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.enabled {
		r.runs = append(r.runs, run)
	}
}

// refuses reports whether the next statement is refused.
func (r *recording) refuses() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repeats.Refused > 0 && r.random.Float64() < r.repeats.Refused
}

// delays returns after which times a reply is repeated.
func (r *recording) delays(reply state.Reply) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	included := reply.Proof != "" || r.repeats.Errors && reply.Code != state.CodeNone || r.repeats.Proofless && reply.Code == state.CodeNone
	if r.repeats.Share == 0 || !included || r.random.Float64() >= r.repeats.Share {
		return nil
	}
	delays := make([]time.Duration, max(1, r.repeats.Times))
	for n := range delays {
		delays[n] = time.Duration(r.random.Int64N(int64(r.repeats.MaxDelay) + 1))
	}
	return delays
}

// lateness returns how long the next reply is held back.
func (r *recording) lateness() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.repeats.Late == 0 || r.random.Float64() >= r.repeats.Late {
		return 0
	}
	return r.repeats.LateBy
}

// servedConn is one connection to a database over the wire.
type servedConn struct {
	session     *Session
	reader      *bufio.Reader
	raw         net.Conn
	number      uint64
	transaction uint64
	// mu keeps a repeat from being sent within a reply.
	mu sync.Mutex
}

// serveStatement serves the next statement, and reports whether the connection goes on.
func (c *servedConn) serveStatement() bool {
	line, err := readLine(c.reader)
	if err != nil {
		return false
	}
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	run := c.newRun(id, text)
	run.Reply, err = c.session.Execute(ctx, id, text)
	if err != nil {
		return false
	}
	switch {
	case run.Reply.Transaction == state.TransactionNone:
		c.transaction = 0
	case c.transaction == 0:
		c.transaction = transactions.Add(1)
	}
	recording := &c.session.database.group.recording
	time.Sleep(recording.lateness())
	run.Answered = time.Now()
	recording.add(run)
	return c.answer(run, formatReply(run.Reply))
}

// answer sends a reply, and may send it again later. It reports whether the connection
// goes on.
func (c *servedConn) answer(run *Run, reply []byte) bool {
	if !c.write(reply) {
		return false
	}
	if delays := c.session.database.group.recording.delays(run.Reply); len(delays) > 0 {
		go c.repeat(run, reply, delays)
	}
	return true
}

// newRun describes a statement before it runs.
func (c *servedConn) newRun(id, text string) *Run {
	if rest, found := strings.CutPrefix(text, "WAITPOS "); found {
		_, text, _ = strings.Cut(rest, " ")
	}
	run := &Run{
		Database: c.session.database.ID, Caller: c.session.caller, Connection: c.number, ID: id, Text: text,
		Values: maps.Clone(c.session.values), Transaction: c.transaction, Received: time.Now(),
	}
	if arguments, found := strings.CutPrefix(text, "EXECUTE "); found {
		name, _, _ := strings.Cut(arguments, " ")
		run.Prepared = c.session.prepared[name].text()
	}
	return run
}

// text returns the statement as it was prepared, without its name.
func (p preparedShape) text() string {
	if p.writes {
		return "WRITE " + p.shape
	}
	return "READ " + p.shape
}

// repeat sends a reply again after each of the delays.
func (c *servedConn) repeat(run *Run, reply []byte, delays []time.Duration) {
	recording := &c.session.database.group.recording
	for _, delay := range delays {
		time.Sleep(delay)
		if !c.write(reply) {
			return
		}
		recording.mu.Lock()
		run.Repeats = append(run.Repeats, time.Now())
		recording.mu.Unlock()
	}
}

func (c *servedConn) write(message []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.raw.Write(message)
	return err == nil
}
