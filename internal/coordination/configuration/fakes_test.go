package configuration

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const testVerifier = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// fakeTables is a table service with injected faults. It keeps every
// configuration that was committed.
type fakeTables struct {
	mu          sync.Mutex
	records     map[string]tables.Record
	results     map[string]tables.Result
	lastVersion uint64
	stale       map[string]tables.Record
	down        bool
	// dropResponses is the number of transactions, and dropCommitResponses that
	// of committed transactions, whose responses are still to be dropped.
	dropResponses       int
	dropCommitResponses int
	reads               int
	// interrupt, if set, is called once before the next transaction that
	// contains writes.
	interrupt func()
	committed []*state.Configuration
}

func newFakeTables() *fakeTables {
	return &fakeTables{records: map[string]tables.Record{}, results: map[string]tables.Result{}}
}

func recordAt(records map[string]tables.Record, key string) tables.Record {
	record := records[key]
	record.Key = key
	return record
}

func (f *fakeTables) visible() (map[string]tables.Record, error) {
	f.reads++
	if f.down {
		return nil, state.NotRun(state.ReasonPlatform, "fake", "platform", 0, nil)
	}
	if f.stale != nil {
		return f.stale, nil
	}
	return f.records, nil
}

func (f *fakeTables) Get(_ context.Context, keys ...string) ([]tables.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visible, err := f.visible()
	var records []tables.Record
	for _, key := range keys {
		records = append(records, recordAt(visible, key))
	}
	return records, err
}

func (f *fakeTables) Scan(_ context.Context, prefix string) ([]tables.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visible, err := f.visible()
	var records []tables.Record
	for _, key := range slices.Sorted(maps.Keys(visible)) {
		if strings.HasPrefix(key, prefix) {
			records = append(records, visible[key])
		}
	}
	return records, err
}

func (f *fakeTables) Transact(_ context.Context, transaction tables.Transaction) (tables.Result, error) {
	f.mu.Lock()
	if interrupt := f.interrupt; interrupt != nil && len(transaction.Writes) > 0 {
		f.interrupt = nil
		f.mu.Unlock()
		interrupt()
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	if f.down {
		return tables.Result{}, state.NotRun(state.ReasonPlatform, "fake", "platform", 0, nil)
	}
	result, done := f.results[transaction.ID]
	if !done {
		result = f.execute(transaction)
		f.results[transaction.ID] = result
	}
	if f.dropResponses > 0 {
		f.dropResponses--
		return tables.Result{}, state.Unknown(state.ReasonPlatform, "fake", "platform", errors.New("lost"))
	}
	if result.Committed && f.dropCommitResponses > 0 {
		f.dropCommitResponses--
		return tables.Result{}, state.Unknown(state.ReasonPlatform, "fake", "platform", errors.New("lost"))
	}
	return result, nil
}

func (f *fakeTables) execute(transaction tables.Transaction) tables.Result {
	holds := true
	var present []tables.Record
	for _, condition := range transaction.Conditions {
		record := recordAt(f.records, condition.Key)
		present = append(present, record)
		holds = holds && record.Version == condition.Version
	}
	if !holds {
		return tables.Result{Records: present}
	}
	f.lastVersion++
	result := tables.Result{Committed: true}
	for _, write := range transaction.Writes {
		record := tables.Record{Key: write.Key, Value: write.Value, Version: f.lastVersion}
		if write.Delete {
			delete(f.records, write.Key)
			continue
		}
		f.records[write.Key] = record
		result.Records = append(result.Records, tables.Record{Key: write.Key, Version: f.lastVersion})
		if write.Key == KeyCurrent {
			configuration, _ := decodeConfiguration(record)
			f.committed = append(f.committed, configuration)
		}
	}
	return result
}

func (f *fakeTables) restore(snapshot map[string]tables.Record) {
	f.lastVersion++
	f.records = map[string]tables.Record{}
	for key, record := range snapshot {
		record.Version = f.lastVersion
		f.records[key] = record
	}
}

// network connects the followers of one test.
type network struct {
	mu         sync.Mutex
	followers  map[state.InstanceID]*Follower
	ids        []state.InstanceID // keys of followers
	partitions map[[2]state.InstanceID]bool
	exchanges  int
}

func newNetwork() *network {
	return &network{followers: map[state.InstanceID]*Follower{}, partitions: map[[2]state.InstanceID]bool{}}
}

func (n *network) join(id state.InstanceID, follower *Follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.followers[id] == nil {
		n.ids = append(n.ids, id)
	}
	n.followers[id] = follower
}

func (n *network) setPartition(a, b state.InstanceID, partitioned bool) {
	n.partitions[[2]state.InstanceID{a, b}] = partitioned
	n.partitions[[2]state.InstanceID{b, a}] = partitioned
}

// fakePeers implements Peers for one instance of a network.
type fakePeers struct {
	own     state.InstanceID
	network *network
	random  *rand.Rand
}

func (p *fakePeers) All() []state.InstanceID {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	var ids []state.InstanceID
	for _, id := range p.network.ids {
		if id != p.own {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *fakePeers) Sample(n int) []state.InstanceID {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	ids := p.network.ids
	var sample []state.InstanceID
	for len(sample) < min(n, len(ids)-1) {
		id := ids[p.random.IntN(len(ids))]
		if id != p.own && !slices.Contains(sample, id) {
			sample = append(sample, id)
		}
	}
	return sample
}

func (p *fakePeers) Exchange(ctx context.Context, peer state.InstanceID, message Exchange) (Exchange, error) {
	p.network.mu.Lock()
	target := p.network.followers[peer]
	partitioned := p.network.partitions[[2]state.InstanceID{p.own, peer}]
	p.network.exchanges++
	p.network.mu.Unlock()
	if target == nil || partitioned {
		return Exchange{}, state.NotRun(state.ReasonUnreachable, "fake", string(peer), 0, nil)
	}
	return target.HandleExchange(ctx, message), nil
}

func testPlan(id state.PlanID, description string) state.Plan {
	return state.Plan{ID: id, User: string(id), PasswordVerifier: testVerifier, Description: description}
}

func (f *fakeTables) Put(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.execute(tables.Transaction{Writes: []tables.Write{{Key: key, Value: value}}})
}
