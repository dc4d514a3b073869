package linebackend

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Replies carry no id. They arrive in the order of the statements, but a database may
// repeat any earlier one at any time. A reply is taken for that to the outstanding
// statement only if it can't be a repeat:
//
//   - One with a proof counts if the connection has not had the proof before.
//   - One of a kind or with a transaction state that the statement can't have is dropped.
//   - One without a proof counts if the connection has had none like it before.
//     Otherwise markers decide: own statements without effect, sent behind it. The true
//     reply to the statement arrives before those to the markers.
//
// What remains in doubt is an *pooling.UnattributedError. Replies to markers may be repeats
// too: a wrong reply is taken only if the database sends more repeats without a proof than
// there are markers, all of them after its last reply with a proof.

// expectation is a kind of reply. Statements await that of a success.
type expectation uint8

const (
	// greeting states the session's state only.
	greeting expectation = iota
	// done has neither rows nor a proof. begun and rolledBack are alike, and leave a
	// transaction open or none.
	done
	begun
	rolledBack
	// status has rows and no proof.
	status
	// result has a proof.
	result
	// refused is the kind of an error.
	refused
)

// call is a statement whose reply is awaited.
type call struct {
	step     string
	expected expectation
	deadline time.Time
	// late, which may be nil, is called if the reply is late.
	late func()
}

// markerName is the prepared statement that markers prepare, and nobody executes. It is
// short since markers go between regions.
const markerName = "m"

// markers is how many markers go with a statement, confirmingMarkers how many follow a
// refusal, and markersIfRepeating how many of either are sent to a database that has
// repeated a reply.
const (
	markers            = 1
	confirmingMarkers  = 4
	markersIfRepeating = 8
)

// repeatRecord tells which databases have repeated a reply.
type repeatRecord struct{ databases sync.Map }

// of returns the flag of a database.
func (r *repeatRecord) of(id state.DatabaseID) *atomic.Bool {
	flag, _ := r.databases.LoadOrStore(id, new(atomic.Bool))
	return flag.(*atomic.Bool)
}

// strayCounter counts replies to no request, by whether another was outstanding.
func strayCounter(found string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_stray_replies_total{found="` + found + `"}`)
}

// exchange sends the buffered statement and returns the reply to it. Where that could be
// a repeat, markers go with the statement.
func (c *Conn) exchange(call call) (state.Reply, error) {
	sent := 0
	if c.mayRepeat(call.expected, c.stateAfter(call.expected)) {
		sent = c.appendMarkers(markers)
	}
	if err := c.send(call); err != nil {
		return state.Reply{}, err
	}
	if sent == 0 {
		return c.finish(call, false)
	}
	reply, _, err := c.await(call)
	if err != nil {
		return state.Reply{}, err
	}
	return c.settle(call, reply, sent)
}

// finish returns the reply to a statement that was sent without a marker. unsure is set
// if the reply to the one before it may have been a repeat.
func (c *Conn) finish(call call, unsure bool) (state.Reply, error) {
	reply, mayRepeat, err := c.await(call)
	if err != nil || reply.Code == state.CodeNone || !mayRepeat && !unsure {
		return reply, err
	}
	if reply.Transaction == state.TransactionFailed {
		// Markers would be refused.
		return state.Reply{}, c.unattributed(call)
	}
	sent := c.appendMarkers(confirmingMarkers)
	call.late = nil
	if err := c.send(call); err != nil {
		return state.Reply{}, err
	}
	return c.settle(call, reply, sent)
}

// appendMarkers appends at least count markers and returns their number.
func (c *Conn) appendMarkers(count int) int {
	c.marked = true
	if c.repeats.Load() {
		count = markersIfRepeating
	}
	for range count {
		c.buffer = c.codec.AppendPrepare(c.buffer, markerName, markerName, false)
	}
	return count
}

// settle reads the replies to markers. A reply to the statement that arrives before
// them shows that the one it was taken to have was a repeat.
func (c *Conn) settle(call call, reply state.Reply, sent int) (state.Reply, error) {
	for outstanding := sent; outstanding > 0; {
		next, err := c.read(call.step)
		if err != nil {
			return state.Reply{}, err
		}
		switch of := kindOf(next); {
		case c.refusesMarker(call, reply, next):
			c.accept(next)
			outstanding--
		case next.Code != state.CodeNone && next.Code != reply.Code:
			return state.Reply{}, c.unattributed(call)
		case of == done && next.Transaction == reply.Transaction:
			c.accept(next)
			// If the reply was a repeat, the true one has a later position, and is among
			// these. A later one still covers what was acknowledged before the statement.
			reply.Position = state.MaxPosition(reply.Position, next.Position)
			outstanding--
		case of == done, call.expected == status && of == status && !slices.Equal(next.Rows, reply.Rows):
			return state.Reply{}, c.unattributed(call)
		case of == result && call.expected == result && c.seen.isNew(next):
			c.recordStray(call, reply)
			c.accept(next)
			// What came before it was no reply to a marker.
			reply, outstanding, c.marked = next, sent, true
		case !c.drop(call, next):
			return state.Reply{}, c.unattributed(call)
		}
	}
	return reply, nil
}

// refusesMarker reports whether an error can be the reply to a marker. An overloaded
// database may refuse those too. A refusal that may be that of the statement itself
// counts where the statement was refused anyway, and where the transaction state tells
// the two apart.
func (c *Conn) refusesMarker(call call, reply, next state.Reply) bool {
	refused := next.Code == state.CodeBusy && next.Transaction == reply.Transaction
	return refused && (reply.Code != state.CodeNone || call.expected == begun)
}

// await returns the next reply that can be that to a statement. mayRepeat is set if it
// can be a repeat all the same. Replies of other kinds are dropped.
func (c *Conn) await(call call) (reply state.Reply, mayRepeat bool, err error) {
	for {
		if reply, err = c.read(call.step); err != nil {
			return state.Reply{}, false, err
		}
		switch {
		case reply.Code != state.CodeNone && !c.canRefuse(call.expected, reply.Transaction):
		case reply.Code != state.CodeNone:
			mayRepeat = c.marked || c.seen.hasError(reply.Code)
			if mayRepeat && len(reply.Rows) > 0 {
				return state.Reply{}, false, c.unattributed(call)
			}
			c.accept(reply)
			return reply, mayRepeat, nil
		case c.answers(call.expected, reply):
			mayRepeat = c.mayRepeat(call.expected, reply.Transaction)
			c.accept(reply)
			return reply, mayRepeat, nil
		}
		if !c.drop(call, reply) {
			return state.Reply{}, false, c.unattributed(call)
		}
	}
}

// drop records a reply that answers no statement, and reports whether it can be dropped.
// Otherwise it belongs to a statement that was given another reply, or holds rows of
// the one that is awaited.
func (c *Conn) drop(call call, reply state.Reply) bool {
	if !c.seen.isRepeat(reply) && (call.expected != status || kindOf(reply) != status) {
		return false
	}
	c.recordStray(call, reply)
	return true
}

// mayRepeat reports whether a success without a proof, with the given transaction state,
// can't be told from an earlier reply or from that to a marker.
func (c *Conn) mayRepeat(expected expectation, transaction state.TransactionState) bool {
	return c.seen.has(expected, transaction) || c.marked && (expected == done || expected == begun)
}

func (c *Conn) read(step string) (state.Reply, error) {
	reply, err := c.codec.ReadReply(c.reader)
	if err != nil {
		return state.Reply{}, c.exchangeError(step, err)
	}
	return reply, nil
}

// answers reports whether a success can be the reply to a statement.
func (c *Conn) answers(expected expectation, reply state.Reply) bool {
	switch of := kindOf(reply); expected {
	case result:
		return of == result && c.seen.isNew(reply)
	case done, begun, rolledBack:
		return of == done && reply.Transaction == c.stateAfter(expected)
	default:
		return of == expected
	}
}

// canRefuse reports whether an error can leave the session in a transaction state. None
// begins a transaction, and only a client's statement ends one.
func (c *Conn) canRefuse(expected expectation, after state.TransactionState) bool {
	if c.transaction == state.TransactionNone {
		return after == state.TransactionNone
	}
	return after != state.TransactionNone || expected == result || expected == rolledBack
}

// stateAfter returns the transaction state in which a successful statement leaves the
// session.
func (c *Conn) stateAfter(expected expectation) state.TransactionState {
	switch expected {
	case begun:
		return state.TransactionOpen
	case rolledBack:
		return state.TransactionNone
	default:
		return c.transaction
	}
}

// kindOf returns the kind of a reply.
func kindOf(reply state.Reply) expectation {
	switch {
	case reply.Code != state.CodeNone:
		return refused
	case reply.Greeting:
		return greeting
	case reply.Proof != "":
		return result
	case len(reply.Rows) > 0:
		return status
	default:
		return done
	}
}

func (c *Conn) accept(reply state.Reply) {
	c.seen.add(reply)
	c.transaction = reply.Transaction
	if reply.Proof != "" {
		c.marked = false
	}
}

func (c *Conn) recordStray(call call, reply state.Reply) {
	c.repeated = true
	c.repeats.Store(true)
	if reply.Proof == "" {
		c.seen.add(reply)
	}
	strayCounter("outstanding").Inc()
	c.log.Warn().Str("peer", c.peer).Str("step", call.step).Str("proof", state.Loggable(reply.Proof)).Stringer("code", reply.Code).Msg("the database repeated a reply while another was outstanding")
}

func (c *Conn) unattributed(call call) error {
	strayCounter("unattributed").Inc()
	c.log.Warn().Str("peer", c.peer).Str("step", call.step).Msg("the reply may be a repeat of an earlier one")
	return &pooling.UnattributedError{Step: call.step, Peer: c.peer}
}
