package forwarding

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fakeDatabase is a database with one connection, which records what it was sent. It
// answers after work with the given state.
type fakeDatabase struct {
	entry       directory.Entry
	sent        []string
	work        time.Duration
	transaction state.TransactionState
	setWork     time.Duration
	closed      chan struct{}
	once        *sync.Once
	placed      placement.Placement
}

func (d *fakeDatabase) Dial(context.Context, state.Server, state.WorkspaceID) (pooling.ServerConn, error) {
	d.closed, d.once = make(chan struct{}), &sync.Once{}
	return d, nil
}

func (d *fakeDatabase) DialTunnel(context.Context, state.Server, state.WorkspaceID) (pooling.ServerConn, error) {
	return nil, state.ErrNoTunnel
}

func (d *fakeDatabase) Run(statement pooling.Statement, _ time.Time, _ func()) (state.Reply, error) {
	if p := statement.Prepare; p != nil {
		d.sent = append(d.sent, "prepare "+p.Name+" "+p.Shape)
		p.Accepted = true
	}
	d.sent = append(d.sent, statement.ID+" "+statement.Text)
	select {
	case <-time.After(d.work):
		return state.Reply{Proof: "p", Transaction: d.transaction}, nil
	case <-d.closed:
		return state.Reply{}, errors.New("closed")
	}
}

func (d *fakeDatabase) Set(name, value string, _ time.Time) (state.Reply, error) {
	time.Sleep(d.setWork)
	if d.setWork == 0 {
		d.sent = append(d.sent, "set "+name+" "+value)
	}
	return state.Reply{}, nil
}

func (d *fakeDatabase) Reset(time.Time) (state.Reply, error) {
	d.sent = append(d.sent, "reset")
	return state.Reply{}, nil
}

func (d *fakeDatabase) Rollback(time.Time) (state.Reply, error) {
	d.sent = append(d.sent, "rollback")
	return state.Reply{}, nil
}

func (d *fakeDatabase) Status(time.Time) (state.ServerStatus, error) {
	return state.ServerStatus{}, nil
}

func (d *fakeDatabase) StepDown(state.Term, time.Time) (state.ServerStatus, error) {
	return state.ServerStatus{}, nil
}
func (d *fakeDatabase) Alive() bool { return true }
func (d *fakeDatabase) Close() {
	d.once.Do(func() { close(d.closed) })
}

func (d *fakeDatabase) Server(_ state.GroupID, id state.DatabaseID) (directory.Entry, bool) {
	return d.entry, id == d.entry.ID
}
func (d *fakeDatabase) Of(state.Server) placement.Placement { return d.placed }
func (d *fakeDatabase) Now() state.Instant                  { return state.Instant(time.Hour) }

func (d *fakeDatabase) Acquire(state.GroupID) (*leadership.Grant, error) {
	return nil, errors.New("no lease")
}
func (d *fakeDatabase) RecordSuccess(state.DatabaseID)  {}
func (d *fakeDatabase) RecordFailure(state.DatabaseID)  {}
func (d *fakeDatabase) RecordWarning(state.DatabaseID)  {}
func (d *fakeDatabase) Suspected(state.DatabaseID) bool { return false }

func newHolder() (*Holder, *fakeDatabase) {
	d := &fakeDatabase{placed: placement.Placement{Accepts: true}}
	d.entry.Server = state.Server{Database: state.Database{ID: "db"}, Group: "g", Born: 1}
	pools := pooling.NewManager(d, d, func(state.GroupID) int { return 1 }, func(state.GroupID) pooling.Division { return pooling.Division{Instances: 1} }, zerolog.Nop())
	return NewHolder(HolderConfig{Directory: d, Leadership: d, Pools: pools, Placement: d, Clock: d, Log: zerolog.Nop()}), d
}

func testCall() Call {
	return Call{Group: "g", Database: "db", Born: 1, ID: "id", Text: "READ k", Wait: time.Second, Left: time.Second}
}

// Senders with other knowledge than the holder's send it statements that it must not
// run. It refuses them, and nothing reaches the database.
func TestHolderRefusesWhatItMayNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		change func(h *Holder, d *fakeDatabase, call *Call)
		want   Refusal
	}{
		"gone":             {func(_ *Holder, _ *fakeDatabase, call *Call) { call.Database = "other" }, RefusedUnknown},
		"another run":      {func(_ *Holder, _ *fakeDatabase, call *Call) { call.Born = 2 }, RefusedUnknown},
		"leaving for long": {func(_ *Holder, d *fakeDatabase, _ *Call) { d.entry.Leaving = true }, RefusedUnknown},
		"stopping":         {func(h *Holder, _ *fakeDatabase, _ *Call) { h.Stop() }, RefusedStopping},
		"not a holder":     {func(_ *Holder, d *fakeDatabase, _ *Call) { d.placed.Accepts = false }, RefusedNotHolder},
		"without a lease":  {func(_ *Holder, _ *fakeDatabase, call *Call) { call.Primary = true }, RefusedPrimary},
		"too late": {func(_ *Holder, d *fakeDatabase, call *Call) {
			d.setWork, call.Values, call.Left = 100*time.Millisecond, map[string]string{"k": "v"}, 50*time.Millisecond
		}, RefusedNoConnection},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, d := newHolder()
				call := testCall()
				c.change(h, d, &call)
				require.Equal(t, c.want, h.NewSession().Call(call).Refusal)
				require.Empty(t, d.sent)
			})
		})
	}
}

// The values and the prepared statement of one session precede its statement on a
// connection that served another one, and text and id are unchanged.
func TestHolderAppliesTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, d := newHolder()
		first, second := testCall(), testCall()
		first.Values = map[string]string{"zone": "a"}
		second.Values, second.Prepared = map[string]string{"lang": "si"}, &Prepared{Name: "p1", Shape: "q"}
		require.Equal(t, NotRefused, h.NewSession().Call(first).Refusal)
		require.Equal(t, NotRefused, h.NewSession().Call(second).Refusal)
		require.Equal(t, []string{"set zone a", "id READ k", "reset", "set lang si", "prepare p1 q", "id READ k"}, d.sent)
		require.Zero(t, h.Open())
	})
}

// A sender goes away while its statement runs, or between two statements of a
// transaction. The connection is closed, so that the database rolls back.
func TestAbandonedStreamClosesItsConnection(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			h, d := newHolder()
			d.work, d.transaction = 100*time.Millisecond, state.TransactionOpen
			session := h.NewSession()
			time.AfterFunc(pause, session.Close)
			session.Call(testCall())
			time.Sleep(time.Second)
			<-d.closed
			require.Zero(t, h.Open())
			require.Equal(t, RefusedLost, session.Call(testCall()).Refusal)
		})
	}
}
