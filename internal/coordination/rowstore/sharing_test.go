package rowstore

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// sharedTable is a store with one row, and the followers of instances that share it.
type sharedTable struct {
	t *testing.T

	// mu guards all that follows.
	mu      sync.Mutex
	version uint64
	era     uint64
	// hanging holds the instances to whose calls the store does not respond.
	hanging map[state.InstanceID]bool
	// drop reports whether a datagram is lost.
	drop      func(from state.InstanceID, message []byte) bool
	calls     map[state.InstanceID]int
	followers map[state.InstanceID]*Follower
	stop      map[state.InstanceID]context.CancelFunc
	// names are in the order of precedence.
	names []state.InstanceID
	// seen is when each instance learnt of a version.
	seen map[state.InstanceID]map[uint64]time.Time
}

type tableClient struct {
	table *sharedTable
	name  state.InstanceID
}

func (c tableClient) List(context.Context, string) (Snapshot, error) {
	return c.respond(true), nil
}

func (c tableClient) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (Snapshot, error) {
	snapshot := c.respond(true)
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if snapshot = c.respond(false); snapshot.Version > after && !c.hangs() {
			return snapshot, nil
		}
	}
	if c.hangs() {
		state.Pause(ctx, 800*time.Millisecond)
		return Snapshot{}, ErrRefused
	}
	snapshot.Rows = nil
	return snapshot, ctx.Err()
}

// respond returns the store's response and counts the call if it is a new one.
func (c tableClient) respond(call bool) Snapshot {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if call {
		c.table.calls[c.name]++
	}
	version := c.table.version
	return Snapshot{Version: version, Era: c.table.era, Rows: []Row{{Table: "t", Key: "k", Version: version}}}
}

func (c tableClient) hangs() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.hanging[c.name]
}

func (tableClient) Transact(context.Context, Transaction) (Commit, error) { return Commit{}, nil }

// DataCentrePeers implements Neighbours.
func (c tableClient) DataCentrePeers() []string {
	var others []string
	for _, name := range c.table.names {
		if name != c.name {
			others = append(others, string(name))
		}
	}
	return others
}

// Send implements Messenger.
func (c tableClient) Send(to string, message []byte) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.table.drop != nil && c.table.drop(c.name, message) {
		return
	}
	time.AfterFunc(time.Millisecond, func() { c.table.followers[state.InstanceID(to)].Sharing.Receive(message) })
}

// shareTable runs a test with four instances that share a table, after they have found
// out which of them watches it.
func shareTable(t *testing.T, body func(table *sharedTable)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		table := &sharedTable{
			t: t, version: 10, hanging: make(map[state.InstanceID]bool), calls: make(map[state.InstanceID]int),
			followers: make(map[state.InstanceID]*Follower), stop: make(map[state.InstanceID]context.CancelFunc), seen: make(map[state.InstanceID]map[uint64]time.Time),
		}
		for n := range 4 {
			table.names = append(table.names, state.InstanceID(fmt.Sprintf("i%d", n)))
		}
		slices.SortFunc(table.names, func(a, b state.InstanceID) int {
			if precedes(a, b) {
				return -1
			}
			return 1
		})
		for _, name := range table.names {
			client := tableClient{table, name}
			clock := bubbleClock{time.Now()}
			table.seen[name] = make(map[uint64]time.Time)
			table.followers[name] = NewFollower(FollowerConfig{
				Store: client, Table: "t", Wait: ShortWait, Availability: NewAvailability(), Clock: clock, Log: zerolog.Nop(),
				Sharing: NewSharing("t", name, client, client, clock, zerolog.Nop()), SharedWait: SharedWait,
				Apply: func(update Update) {
					table.mu.Lock()
					defer table.mu.Unlock()
					if _, known := table.seen[name][update.Version]; !known {
						table.seen[name][update.Version] = time.Now()
					}
				},
			})
		}
		for _, name := range table.names {
			ctx, cancel := context.WithCancel(t.Context())
			table.stop[name] = cancel
			go table.followers[name].Run(ctx)
		}
		defer func() {
			for _, cancel := range table.stop {
				cancel()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(10 * time.Second)
		body(table)
	})
}

// set changes the table's state.
func (t *sharedTable) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// change changes the table and returns how long an instance took to learn of it.
func (t *sharedTable) change(name state.InstanceID) time.Duration {
	var version uint64
	t.set(func() { t.version++; version = t.version })
	changed := time.Now()
	time.Sleep(20 * time.Second)
	t.mu.Lock()
	defer t.mu.Unlock()
	require.Contains(t.t, t.seen[name], version, "%s never learnt of the change", name)
	return t.seen[name][version].Sub(changed)
}

// Many instances in a data centre: their calls to the store at rest are those of one.
func TestOneInstanceOfADataCentreWatchesTheTable(t *testing.T) {
	shareTable(t, func(table *sharedTable) {
		table.set(func() { clear(table.calls) })
		time.Sleep(30 * time.Second)
		table.set(func() {
			require.NotZero(t, table.calls[table.names[0]])
			for _, name := range table.names[1:] {
				require.Zero(t, table.calls[name], name)
			}
		})
		for _, name := range table.names[1:] {
			require.Less(t, table.change(name), 100*time.Millisecond)
		}
	})
}

// The datagram with a change is lost.
func TestLostNoticeIsNoticed(t *testing.T) {
	shareTable(t, func(table *sharedTable) {
		lost := false
		table.set(func() {
			table.drop = func(_ state.InstanceID, message []byte) bool {
				dropped := !lost && len(message) > 70 // it has a row
				lost = lost || dropped
				return dropped
			}
		})
		for _, name := range table.names[1:] {
			table.set(func() { lost = false })
			require.Less(t, table.change(name), time.Second)
			table.set(func() { require.True(t, lost) })
		}
	})
}

// The instance that watches the table is killed, or cut off from the others.
func TestTableIsWatchedWithoutTheNeighbour(t *testing.T) {
	for name, fault := range map[string]func(table *sharedTable){
		"killed": func(table *sharedTable) { table.stop[table.names[0]]() },
		"cut off": func(table *sharedTable) {
			table.set(func() { table.drop = func(state.InstanceID, []byte) bool { return true } })
		},
	} {
		t.Run(name, func(t *testing.T) {
			shareTable(t, func(table *sharedTable) {
				fault(table)
				require.Less(t, table.change(table.names[3]), noticeTimeout+100*time.Millisecond)
				require.Less(t, table.change(table.names[2]), 100*time.Millisecond)
			})
		})
	}
}

// The store responds to all but the instance that watches the table, which does not
// know of it yet. The others must learn of a change as soon as after a lost response.
func TestNeighbourThatLostTheStoreIsNotFollowed(t *testing.T) {
	for phase := range 12 {
		shareTable(t, func(table *sharedTable) {
			time.Sleep(time.Duration(phase) * 300 * time.Millisecond)
			table.set(func() { table.hanging[table.names[0]] = true })
			for _, name := range table.names[1:] {
				require.Less(t, table.change(name), ShortWait)
			}
		})
	}
}

// The versions of a new era are assigned again, so that a notice of the era before
// means nothing.
func TestNoticesOfAnotherEraAreNotApplied(t *testing.T) {
	shareTable(t, func(table *sharedTable) {
		table.set(func() { table.era, table.version = table.era+1, 5 })
		for _, name := range table.names {
			table.followers[name].BeginEra(1)
		}
		time.Sleep(20 * time.Second)
		late, err := msgpack.Marshal(notice{Table: "t", From: table.names[0], Version: 1000, Rows: []noticeRow{{Key: "k", Version: 1000}}})
		require.NoError(t, err)
		for _, name := range table.names {
			table.followers[name].Sharing.Receive(late)
			require.Less(t, table.change(name), 100*time.Millisecond)
		}
	})
}
