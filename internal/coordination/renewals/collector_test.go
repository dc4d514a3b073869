package renewals

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// rowTable is a store that checks conditions. Each commit is a version.
type rowTable struct {
	rowstore.Store
	rows    map[string]rowstore.Row
	version uint64
	calls   int
}

func (s *rowTable) Transact(_ context.Context, transaction rowstore.Transaction) (rowstore.Commit, error) {
	s.calls++
	conflict, held := &rowstore.ConflictError{Step: "transact"}, true
	for _, condition := range transaction.Conditions {
		row := s.rows[condition.Table+condition.Key]
		conflict.Rows = append(conflict.Rows, row)
		held = held && row.Version == condition.Version
	}
	if !held {
		return rowstore.Commit{}, conflict
	}
	s.version++
	for _, row := range transaction.Puts {
		row.Version = s.version
		s.rows[row.Table+row.Key] = row
	}
	return rowstore.Commit{Version: s.version}, nil
}

// fakeInstance takes part with one row.
type fakeInstance struct {
	name      state.InstanceID
	seen      uint64 // version of the shared row
	own       uint64 // version of its own row
	committed uint64
	renewsNow int
}

func (i *fakeInstance) transaction() rowstore.Transaction {
	return rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: "shared", Key: "", Version: i.seen}, {Table: leadership.TableInstances, Key: string(i.name), Version: i.own}},
		Puts:       []rowstore.Row{{Table: leadership.TableInstances, Key: string(i.name), Value: []byte(i.name)}},
	}
}

func (i *fakeInstance) OfferRenewal() (rowstore.Transaction, func(rowstore.Commit), bool) {
	return i.transaction(), func(commit rowstore.Commit) { i.committed = commit.Version }, true
}

func (i *fakeInstance) RenewNow() { i.renewsNow++ }

// neighbours are the collectors of one data centre. Messages to those in lost are lost.
type neighbours struct {
	collectors map[string]*Collector
	names      []string
	lost       map[string]bool
}

func (n *neighbours) Neighbourhood() (rows []leadership.InstanceRow) {
	for _, name := range n.names {
		rows = append(rows, leadership.InstanceRow{Name: state.InstanceID(name), Address: name})
	}
	return rows
}

type sender struct {
	*neighbours
	from string
}

func (s sender) Send(to string, datagram []byte) {
	if s.lost[to] {
		return
	}
	if response := s.collectors[to].Receive(datagram); response != nil {
		s.collectors[s.from].Receive(response)
	}
}

type clock struct{ began time.Time }

func (c clock) Now() state.Instant { return state.Instant(time.Since(c.began)) + 1 }

func newNeighbours(store rowstore.Store, instances map[string]*fakeInstance, names ...string) *neighbours {
	n := &neighbours{collectors: map[string]*Collector{}, names: names, lost: map[string]bool{}}
	for _, name := range names {
		n.collectors[name] = New(Config{
			Self: state.InstanceID(name), Store: store, Participant: func() Participant { return instances[name] }, Membership: func() Membership { return n },
			InUse: func() bool { return true }, Messenger: sender{n, name}, Clock: clock{time.Now()}, Log: zerolog.Nop(),
		})
	}
	return n
}

// Some neighbours have missed a change, or another renewal of theirs came first, or
// messages to them are lost. Exactly the renewals whose conditions hold are committed
// with the collector's, and nobody is told otherwise.
func TestOnlyRenewalsWhoseConditionsHoldAreCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			store := &rowTable{rows: map[string]rowstore.Row{"shared": {Table: "shared", Version: 7}}, version: 7}
			instances := map[string]*fakeInstance{}
			names := []string{"a", "b", "c", "d", "e"}
			for _, name := range names {
				instances[name] = &fakeInstance{name: state.InstanceID(name), seen: 7}
				if rapid.Bool().Draw(rt, "outdated "+name) {
					instances[name].seen = 6
				}
				if rapid.Bool().Draw(rt, "renewed "+name) {
					instances[name].own = 3
				}
			}
			n := newNeighbours(store, instances, names...)
			var collector string
			for name, c := range n.collectors {
				if len(c.Group()) > 0 {
					collector = name
				}
			}
			for _, name := range names {
				n.lost[name] = name != collector && rapid.IntRange(0, 4).Draw(rt, "lost "+name) == 0
			}
			own := instances[collector]
			_, err := n.collectors[collector].Transact(context.Background(), own.transaction())
			if valid := own.seen == 7 && own.own == 0; valid != (err == nil) {
				rt.Fatalf("the collector's own renewal: %v", err)
			}
			for name, i := range instances {
				row := store.rows[leadership.TableInstances+name]
				told := i.committed != 0 || name == collector && err == nil
				valid := i.seen == 7 && i.own == 0 && !n.lost[name]
				if told != (row.Version != 0) || told && !valid || err == nil && valid && !told {
					rt.Fatalf("%s, valid %v: told %v, row %d", name, valid, told, row.Version)
				}
				if name != collector && !told && !n.lost[name] && i.renewsNow != 1 {
					rt.Fatalf("%s is not told to renew by itself", name)
				}
			}
			if store.calls > 2 {
				rt.Fatalf("%d calls", store.calls)
			}
		})
	})
}

// An offer that does not depend on the row that it replaces could take effect late and
// replace a later one. Others are malformed, repeated or not asked for.
func TestBadMessagesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &rowTable{rows: map[string]rowstore.Row{}}
		instances := map[string]*fakeInstance{"a": {name: "a"}, "b": {name: "b"}}
		n := newNeighbours(store, instances, "a", "b")
		collector := n.collectors["a"]
		if len(collector.Group()) == 0 {
			collector = n.collectors["b"]
		}
		for _, datagram := range [][]byte{nil, {0xff}, {0x81, 0xa1, 'k', 0xff}, []byte("text")} {
			require.Nil(t, collector.Receive(datagram))
		}
		unconditional := message{Kind: kindOffer, From: "c", Row: []byte("x")}
		require.False(t, (&batch{}).add(unconditional))
		unknown, err := message{Kind: kindResult, Nonce: 4, Committed: true, Version: 9}.encode()
		require.NoError(t, err)
		require.Nil(t, collector.Receive(unknown))
		for _, i := range instances {
			require.Zero(t, i.committed)
			require.Zero(t, i.renewsNow)
		}
		_, err = message{Kind: kindOffer, Row: make([]byte, maxMessageBytes)}.encode()
		require.Error(t, err)
	})
}

func FuzzReceive(f *testing.F) {
	encoded, err := offerMessage(1, "b", (&fakeInstance{name: "b"}).transaction()).encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		n := newNeighbours(&rowTable{rows: map[string]rowstore.Row{}}, map[string]*fakeInstance{"a": {name: "a"}}, "a")
		n.collectors["a"].Receive(datagram)
	})
}
