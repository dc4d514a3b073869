package council

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// exchange is a statement that a client sent, with what it got.
type exchange struct {
	id, text, instance string
	// prepared is what the client has prepared under the name that it executes.
	prepared string
	// values holds the session values that were acknowledged.
	values      map[string]string
	transaction *clientTransaction
	sent, got   time.Time
	reply       state.Reply
	err         error
}

// clientTransaction is a transaction as its client sees it.
type clientTransaction struct {
	first      string // the id of the first statement
	commitSent bool
	promise    state.ErrorCode
	connection uint64 // at the database
}

// Exchanges compares what clients sent and got with what the databases ran and sent.
type Exchanges struct {
	began time.Time
	last  atomic.Uint64
	// served counts the statements that succeeded.
	served atomic.Int64

	mu   sync.Mutex
	sent map[string]*exchange
}

// NewExchanges returns an empty record.
func NewExchanges() *Exchanges {
	return &Exchanges{began: time.Now(), sent: make(map[string]*exchange)}
}

// Violation is a broken rule in one case.
type Violation struct {
	Rule, Text string
	At         time.Time
}

// Verdict is the judgement of a time.
type Verdict struct {
	// Outcomes counts the replies that clients got by code.
	Outcomes map[string]int
	// Forwarded counts the statements that ran on a connection of another instance than
	// their client's.
	Forwarded int
	// Violations holds the broken rules by name.
	Violations map[string][]Violation
}

func (x *Exchanges) add(e *exchange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent[e.id] = e
	if e.err == nil && e.reply.Code == state.CodeNone {
		x.served.Add(1)
	}
}

// Served returns how many statements succeeded.
func (x *Exchanges) Served() int64 { return x.served.Load() }

// Judge judges what was sent between two times to a group that keeps a record. All
// clients must have stopped.
func (x *Exchanges) Judge(g *Group, since, until time.Time) Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	verdict := Verdict{Outcomes: make(map[string]int), Violations: make(map[string][]Violation)}
	within := func(moment time.Time) bool { return moment.After(since) && !moment.After(until) }
	for _, e := range x.sent {
		if within(e.sent) {
			verdict.Outcomes[e.reply.Code.String()]++
		}
	}
	runs := g.Runs()
	for _, run := range runs {
		if e := x.sent[run.ID]; e != nil && within(e.sent) && e.instance != run.Caller {
			verdict.Forwarded++
		}
	}
	for _, v := range slices.Concat(x.judgeRuns(runs), x.judgeReplies(runs), x.judgeCommits(g.Commits())) {
		if within(v.At) {
			verdict.Violations[v.Rule] = append(verdict.Violations[v.Rule], v)
		}
	}
	return verdict
}

func (x *Exchanges) at(moment time.Time) string {
	return fmt.Sprintf("%.1f ms", float64(moment.Sub(x.began).Microseconds())/1000)
}

func (x *Exchanges) describeRun(run Run) string {
	text := fmt.Sprintf("%s received %q as %s from %s at %s on connection %d, answered %q %s at %s", run.Database, run.Text, run.ID, run.Caller, x.at(run.Received),
		run.Connection, run.Reply.Rows, run.Reply.Proof, x.at(run.Answered))
	for _, repeated := range run.Repeats {
		text += ", again at " + x.at(repeated)
	}
	return text
}

func (x *Exchanges) describe(e *exchange) string {
	return fmt.Sprintf("%s %q sent to %s at %s", e.id, e.text, e.instance, x.at(e.sent))
}

// judgeRuns checks that databases ran what clients sent, in its session and transaction.
func (x *Exchanges) judgeRuns(runs []Run) (found []Violation) {
	owners := make(map[uint64]*clientTransaction)
	for _, run := range runs {
		if run.ID == "-" || run.Reply.Code != state.CodeNone {
			continue
		}
		add := func(rule, why string) {
			text := why + ": " + x.describeRun(run)
			if e := x.sent[run.ID]; e != nil {
				text = why + ": " + x.describe(e) + "; " + x.describeRun(run)
			}
			found = append(found, Violation{rule, text, run.Received})
		}
		e, known := x.sent[run.ID]
		if !known {
			add("UNASKED", "nobody sent this id")
			continue
		}
		if !run.Ran(e.text) {
			add("UNASKED", "changed text")
		}
		if run.Reply.Proof == "" {
			continue
		}
		if e.prepared != run.Prepared {
			add("PINNED", fmt.Sprintf("prepared %q, ran %q", e.prepared, run.Prepared))
		}
		if !maps.Equal(e.values, run.Values) {
			add("PINNED", fmt.Sprintf("values are %q instead of %q", run.Values, e.values))
		}
		if why := checkTransaction(e, run, owners); why != "" {
			add("PINNED", why)
		}
	}
	return found
}

// checkTransaction checks that a statement ran in its client's transaction and on the
// connection of that. owners holds the client's transaction for each of a database.
func checkTransaction(e *exchange, run Run, owners map[uint64]*clientTransaction) string {
	own := e.transaction
	switch {
	case own == nil && run.Transaction == 0:
		return ""
	case own == nil:
		return "ran in a transaction"
	case run.Transaction == 0:
		return "ran outside its transaction"
	}
	if owner, known := owners[run.Transaction]; known && owner != own {
		return "ran in another transaction"
	}
	owners[run.Transaction] = own
	if own.first == e.id || own.connection == 0 {
		own.connection = run.Connection
	}
	if own.connection != run.Connection {
		return fmt.Sprintf("ran on another connection than %d", own.connection)
	}
	return ""
}

// judgeReplies checks that successes carry a proof and the rows of their own run.
func (x *Exchanges) judgeReplies(runs []Run) (found []Violation) {
	byProof, byID := make(map[string]Run), make(map[string]Run)
	for _, run := range runs {
		if run.Reply.Proof != "" {
			byProof[run.Reply.Proof] = run
		}
		byID[run.ID] = run
	}
	for _, e := range x.sent {
		if e.err != nil || e.reply.Code != state.CodeNone || !needsProof(e.text) {
			continue
		}
		run, known := byProof[e.reply.Proof]
		if known && run.ID == e.id && slices.Equal(run.Reply.Rows, e.reply.Rows) {
			continue
		}
		text := fmt.Sprintf("%s, answered %q %q at %s", x.describe(e), e.reply.Rows, e.reply.Proof, x.at(e.got))
		if own, ran := byID[e.id]; ran {
			text += "; its own: " + x.describeRun(own)
		}
		if known && run.ID != e.id {
			text += "; the proof's: " + x.describeRun(run)
		}
		found = append(found, Violation{"MIXED", text, e.sent})
	}
	return found
}

func needsProof(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	return slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT"}, word)
}

// judgeCommits checks that writes take effect once, and only those whose client asked for
// it and got no promise to the contrary.
func (x *Exchanges) judgeCommits(commits []Commit) (found []Violation) {
	effects := make(map[string]int)
	for _, commit := range commits {
		for _, id := range commit.IDs {
			e, known := x.sent[id]
			if !known {
				continue
			}
			effects[id]++
			add := func(rule, why string) {
				found = append(found, Violation{rule, fmt.Sprintf("%s: %s, committed through %s at %s", why, x.describe(e), commit.Caller, x.at(commit.At)), commit.At})
			}
			promise := e.reply.Code
			if e.transaction != nil {
				promise = e.transaction.promise
				if !e.transaction.commitSent {
					add("UNASKED", "nobody asked for the commit")
				}
			}
			if promise.HasNoEffect() {
				add("REFUSED", "client was told "+promise.String())
			}
			if effects[id] == 2 {
				add("TWICE", "took effect again")
			}
		}
	}
	return found
}
