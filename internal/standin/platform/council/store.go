package council

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Fault is an injected failure of a call to the store.
type Fault uint8

// The faults that can be injected into calls.
const (
	FaultNone Fault = iota
	// FaultRefused calls return an error and have no effect.
	FaultRefused
	// FaultRequestLost calls get no response and have no effect.
	FaultRequestLost
	// FaultResponseLost calls take effect but get no response.
	FaultResponseLost
	// FaultDelayed calls get no response and take effect later, if their
	// conditions still hold.
	FaultDelayed
	// FaultHeld calls get no response and take effect when CarryOutHeld is called, if
	// their conditions still hold.
	FaultHeld
)

const (
	// callLatency is the usual duration of a call.
	callLatency = 4 * time.Millisecond
	// effectDelay is how long after the call a FaultDelayed call takes effect, unless
	// SetEffectDelay states another time.
	effectDelay = 2 * time.Second
)

// errStoreTimeout is returned for a call that timed out.
var errStoreTimeout = errors.New("no response from the store")

type rowKey struct{ table, key string }

// Store is an in-memory row store with versions, watches and conditional
// transactions.
type Store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]rowstore.Row
	history []rowstore.Row
	// forgottenVersion is the version up to which the history was discarded.
	forgottenVersion uint64
	version          uint64
	// era is 0 until the first Restore, and then reported with each response.
	era     uint64
	changed chan struct{}
	faults  func(caller, call string) Fault
	// tableFaults selects the faults of calls that faults lets pass, listFaults those of
	// lists that both let pass.
	tableFaults func(caller, call, table string) Fault
	listFaults  func(caller, table string) Fault
	// transferTimes holds how long a response with rows of a table takes to
	// arrive, transfers how many such responses were sent to each caller.
	transferTimes map[string]time.Duration
	transfers     map[string]int
	latency       time.Duration
	effectDelay   time.Duration
	// held are the transactions that CarryOutHeld carries out.
	held []rowstore.Transaction
	// calls is the number of calls by kind and table.
	calls map[string]int
	// commitTime is how long each transaction takes, one after another; idleFrom is
	// when the last one ends, longestWait the longest time that one waited for others.
	commitTime, longestWait time.Duration
	idleFrom                time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{started: time.Now(), latency: callLatency, effectDelay: effectDelay, rows: make(map[rowKey]rowstore.Row), changed: make(chan struct{}), transferTimes: make(map[string]time.Duration), transfers: make(map[string]int), calls: make(map[string]int)}
}

// SetFaults sets the function that selects the fault of each call from now on;
// nil injects none.
func (s *Store) SetFaults(faults func(caller, call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetListFaults sets the function that selects the fault of each list of a table from
// now on; nil injects none.
func (s *Store) SetListFaults(faults func(caller, table string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listFaults = faults
}

// SetTableFaults sets the function that selects the fault of each call from now on by
// the table that it names first; nil injects none. A transaction that writes no row is a
// removal.
func (s *Store) SetTableFaults(faults func(caller, call, table string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableFaults = faults
}

// faultOf selects the fault of a call. It must be called with the lock held.
func (s *Store) faultOf(caller, call, table string) Fault {
	fault := FaultNone
	if s.faults != nil {
		fault = s.faults(caller, call)
	}
	if fault == FaultNone && s.tableFaults != nil {
		fault = s.tableFaults(caller, call, table)
	}
	if call == "list" && fault == FaultNone && s.listFaults != nil {
		fault = s.listFaults(caller, table)
	}
	return fault
}

// SetLatency sets how long calls take from now on, as those to an overloaded store.
// A transaction takes effect even if its caller no longer waits.
func (s *Store) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

// SetEffectDelay sets how long after the call FaultDelayed calls take effect.
func (s *Store) SetEffectDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effectDelay = delay
}

// Held returns the number of transactions that CarryOutHeld would carry out.
func (s *Store) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// CarryOutHeld carries out the transactions that FaultHeld has kept back and whose
// conditions still hold.
func (s *Store) CarryOutHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, transaction := range s.held {
		s.apply(transaction)
	}
	s.held = nil
}

// SetTransferTime sets how long a response with rows of a table takes to arrive,
// as a large one does on a slow link.
func (s *Store) SetTransferTime(table string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transferTimes[table] = duration
}

// Transfers returns how many responses with rows of a table that has a transfer
// time were sent to each caller.
func (s *Store) Transfers() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.transfers)
}

// SetCommitTime sets how long each transaction takes; they take effect one after
// another.
func (s *Store) SetCommitTime(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitTime, s.longestWait = duration, 0
}

// LongestWait returns the longest time that a transaction waited for others since
// SetCommitTime.
func (s *Store) LongestWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestWait
}

// awaitTurn waits until the earlier transactions and this one have been carried out.
func (c *StoreClient) awaitTurn(ctx context.Context) {
	c.store.mu.Lock()
	now := time.Now()
	starts := now
	if c.store.idleFrom.After(now) {
		starts = c.store.idleFrom
	}
	c.store.idleFrom = starts.Add(c.store.commitTime)
	c.store.longestWait = max(c.store.longestWait, starts.Sub(now))
	takes := c.store.idleFrom.Sub(now)
	c.store.mu.Unlock()
	state.Pause(ctx, takes)
}

// Calls returns the number of calls so far by kind and table.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// transfer simulates the arrival of a response with the given rows.
func (c *StoreClient) transfer(ctx context.Context, rows []rowstore.Row) error {
	c.store.mu.Lock()
	var takes time.Duration
	for _, row := range rows {
		takes = max(takes, c.store.transferTimes[row.Table])
	}
	if takes > 0 {
		c.store.transfers[c.caller]++
	}
	c.store.mu.Unlock()
	if takes == 0 {
		return nil
	}
	rowstore.ResponseStarted(ctx)
	state.Pause(ctx, takes)
	return ctx.Err()
}

// ForgetHistory discards the history, so that watches from earlier versions fail.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgottenVersion = nil, s.version
}

// Copy is a copy of a store's rows, from which the store can be restored.
type Copy struct {
	rows    map[rowKey]rowstore.Row
	version uint64
}

// Copy returns a copy of the present rows.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), version: s.version}
}

// Restore replaces all rows by those of a copy, and begins a new era: versions after
// the copy's are assigned again, and watches from these fail.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.history, s.forgottenVersion = maps.Clone(from.rows), from.version, nil, from.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Version returns the version of the newest transaction.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Era returns the number of the present era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Put writes a row unconditionally, as the operators and the databases do.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rowstore.Transaction{Puts: []rowstore.Row{{Table: table, Key: key, Value: value}}})
}

// Delete removes a row unconditionally, as the operators and the databases do.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rowstore.Transaction{Deletes: []rowstore.Row{{Table: table, Key: key}}})
}

// apply applies a transaction if all its conditions hold, and reports whether
// they did. It must be called with the lock held.
func (s *Store) apply(transaction rowstore.Transaction) bool {
	for _, condition := range transaction.Conditions {
		if s.rows[rowKey{condition.Table, condition.Key}].Version != condition.Version {
			return false
		}
	}
	s.version++
	for _, row := range transaction.Puts {
		row.Version = s.version
		s.rows[rowKey{row.Table, row.Key}] = row
		s.history = append(s.history, row)
	}
	for _, row := range transaction.Deletes {
		delete(s.rows, rowKey{row.Table, row.Key})
		row.Version, row.Removed = s.version, true
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// existingRows returns those of the rows named by conditions that exist. It must
// be called with the lock held.
func (s *Store) existingRows(conditions []rowstore.Condition) []rowstore.Row {
	var rows []rowstore.Row
	for _, condition := range conditions {
		if row, ok := s.rows[rowKey{condition.Table, condition.Key}]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) now() time.Duration {
	return time.Since(s.started)
}

// Client returns a client of the store for one caller.
func (s *Store) Client(caller string) *StoreClient {
	return &StoreClient{store: s, caller: caller}
}

// StoreClient implements rowstore.Store.
type StoreClient struct {
	store  *Store
	caller string
}

// callTimeout is how long a caller waits for a response that never comes.
const callTimeout = 1500 * time.Millisecond

// begin simulates the latency of a call, and returns its fault and the error
// that the caller gets from it, if any.
func (c *StoreClient) begin(ctx context.Context, call, table string) (Fault, error) {
	c.store.mu.Lock()
	c.store.calls[call+" "+table]++
	fault := c.store.faultOf(c.caller, call, table)
	latency := c.store.latency
	c.store.mu.Unlock()
	timeout := rowstore.CallTimeout(ctx, callTimeout)
	if fault == FaultRequestLost {
		state.Pause(ctx, timeout)
		return fault, errStoreTimeout
	}
	state.Pause(ctx, min(latency, timeout))
	if fault == FaultRefused {
		return fault, rowstore.ErrRefused
	}
	if latency > timeout && ctx.Err() == nil {
		return fault, errStoreTimeout
	}
	return fault, ctx.Err()
}

// List implements rowstore.Store.
func (c *StoreClient) List(ctx context.Context, table string) (rowstore.Snapshot, error) {
	if _, err := c.begin(ctx, "list", table); err != nil {
		return rowstore.Snapshot{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	snapshot := rowstore.Snapshot{Version: c.store.version, Now: c.store.now(), Era: c.store.era}
	for key, row := range c.store.rows {
		if key.table == table {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	slices.SortFunc(snapshot.Rows, func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) })
	return snapshot, nil
}

// Watch implements rowstore.Store.
func (c *StoreClient) Watch(ctx context.Context, table string, after uint64, maxWait time.Duration) (rowstore.Snapshot, error) {
	if fault, err := c.begin(ctx, "watch", table); err != nil {
		if fault == FaultRequestLost {
			// To the caller this looks like a watch without changes.
			state.Pause(ctx, maxWait)
		}
		return rowstore.Snapshot{}, err
	}
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	for expired := false; ; {
		snapshot, changed, err := c.since(table, after)
		if err != nil || len(snapshot.Rows) > 0 || expired {
			if c.unreachable(table) {
				state.Pause(ctx, maxWait)
				return rowstore.Snapshot{}, errStoreTimeout
			}
			if err == nil {
				err = c.transfer(ctx, snapshot.Rows)
			}
			return snapshot, err
		}
		select {
		case <-ctx.Done():
			return rowstore.Snapshot{}, ctx.Err()
		case <-deadline.C:
			expired = true
		case <-changed:
		}
	}
}

// unreachable reports whether the caller can't reach the store now, so that the
// response to an earlier call is lost, too.
func (c *StoreClient) unreachable(table string) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.faultOf(c.caller, "watch response", table) == FaultRequestLost
}

func (c *StoreClient) since(table string, after uint64) (rowstore.Snapshot, <-chan struct{}, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if after < c.store.forgottenVersion || after > c.store.version {
		return rowstore.Snapshot{Era: c.store.era}, nil, rowstore.ErrHistoryLost
	}
	snapshot := rowstore.Snapshot{Version: c.store.version, Now: c.store.now(), Era: c.store.era}
	for _, row := range c.store.history {
		if row.Table == table && row.Version > after {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	return snapshot, c.store.changed, nil
}

// firstTable returns the table of a transaction's first write.
func firstTable(transaction rowstore.Transaction) string {
	for _, rows := range [][]rowstore.Row{transaction.Puts, transaction.Deletes} {
		if len(rows) > 0 {
			return rows[0].Table
		}
	}
	return ""
}

// Transact implements rowstore.Store.
func (c *StoreClient) Transact(ctx context.Context, transaction rowstore.Transaction) (rowstore.Commit, error) {
	began := time.Now()
	call := "transact"
	if len(transaction.Puts) == 0 {
		call = "removal"
	}
	fault, err := c.begin(ctx, call, firstTable(transaction))
	if err != nil {
		if fault == FaultNone {
			time.AfterFunc(c.remainingLatency(began), func() { c.applyLate(transaction) })
		}
		return rowstore.Commit{}, err
	}
	if fault == FaultDelayed || fault == FaultHeld {
		c.store.postpone(transaction, fault)
		state.Pause(ctx, callTimeout)
		return rowstore.Commit{}, errStoreTimeout
	}
	c.awaitTurn(ctx)
	c.store.mu.Lock()
	applied := c.store.apply(transaction)
	present := c.store.existingRows(transaction.Conditions)
	commit := rowstore.Commit{Version: c.store.version, Now: c.store.now(), Era: c.store.era}
	c.store.mu.Unlock()
	if fault == FaultResponseLost {
		state.Pause(ctx, callTimeout)
		return rowstore.Commit{}, errStoreTimeout
	}
	if !applied {
		if err := c.transfer(ctx, present); err != nil {
			return rowstore.Commit{}, err
		}
		return rowstore.Commit{}, &rowstore.ConflictError{Step: "transact", Rows: present, Era: commit.Era}
	}
	state.Pause(ctx, callLatency/2)
	return commit, nil
}

// postpone keeps a transaction that takes effect later.
func (s *Store) postpone(transaction rowstore.Transaction, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault == FaultHeld {
		s.held = append(s.held, transaction)
		return
	}
	time.AfterFunc(s.effectDelay, func() { s.Client("").applyLate(transaction) })
}

// remainingLatency returns how much longer a call takes that began at the given
// time.
func (c *StoreClient) remainingLatency(began time.Time) time.Duration {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.latency - time.Since(began)
}

// applyLate applies a transaction whose caller no longer waits, if its conditions
// still hold.
func (c *StoreClient) applyLate(transaction rowstore.Transaction) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.apply(transaction)
}
