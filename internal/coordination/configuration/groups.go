package configuration

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// prefixGroups, followed by a group's id, is the key of its state.Group.
const prefixGroups = "groups/"

// GroupKey returns the key of a group's record.
func GroupKey(id state.GroupID) string {
	return prefixGroups + string(id)
}

// GroupRecord is a group with the version of the platform record it was read from.
type GroupRecord struct {
	Group   state.Group `msgpack:"group" json:"group"`
	Version uint64      `msgpack:"version" json:"version"`
}

// GroupTables is the part of the platform's table service that Groups uses.
type GroupTables interface {
	tables.Reader
	tables.Scanner
	tables.Transactor
}

// Groups holds the newest known record of each database group. A record is
// never replaced by one of a lower version, and a group's recorded term never
// decreases. Groups are not removed while the process runs: a group is retired
// by recording it without databases. All methods are safe for concurrent use.
type Groups struct {
	tables  GroupTables
	options FollowerOptions
	logger  zerolog.Logger

	// mu protects the fields below.
	mu          sync.Mutex
	records     map[state.GroupID]GroupRecord
	recordsHash string
	subscribers map[chan struct{}]struct{}
}

// NewGroups returns an empty set of groups, which Run fills.
func NewGroups(service GroupTables, options FollowerOptions, logger zerolog.Logger) *Groups {
	return &Groups{
		tables:      service,
		options:     options.withDefaults(),
		logger:      logger,
		records:     make(map[state.GroupID]GroupRecord),
		subscribers: make(map[chan struct{}]struct{}),
	}
}

// Get returns a group, and reports whether it is known and has databases.
func (g *Groups) Get(id state.GroupID) (state.Group, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, found := g.records[id]
	return record.Group, found && len(record.Group.Databases) > 0
}

// All returns the groups that have databases, sorted by id.
func (g *Groups) All() []state.Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	groups := make([]state.Group, 0, len(g.records))
	for _, record := range g.sorted() {
		if len(record.Group.Databases) > 0 {
			groups = append(groups, record.Group)
		}
	}
	return groups
}

// IDs returns the ids of the groups that All returns, or nil if there are none.
func (g *Groups) IDs() []state.GroupID {
	var ids []state.GroupID
	for _, group := range g.All() {
		ids = append(ids, group.ID)
	}
	return ids
}

// sorted returns the records, sorted by group id. The caller holds mu.
func (g *Groups) sorted() []GroupRecord {
	records := make([]GroupRecord, 0, len(g.records))
	for _, id := range slices.Sorted(maps.Keys(g.records)) {
		records = append(records, g.records[id])
	}
	return records
}

// Subscribe returns a channel that receives a value after records have changed,
// and a function that ends the subscription.
func (g *Groups) Subscribe() (<-chan struct{}, func()) {
	subscriber := make(chan struct{}, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.subscribers, subscriber)
	}
}

// Run polls the platform for the groups until ctx ends.
func (g *Groups) Run(ctx context.Context) {
	g.poll(ctx)
	interval := func() time.Duration { return pollInterval(g.options) }
	every(ctx, interval, g.poll)
}

func (g *Groups) poll(ctx context.Context) {
	callContext, cancel := context.WithTimeout(ctx, g.options.CallTimeout)
	defer cancel()
	records, err := g.tables.Scan(callContext, prefixGroups)
	if err != nil {
		metrics.GetOrCreateCounter(`cyclamenpin_groups_poll_failures_total`).Inc()
		g.logger.Debug().Err(err).Msg("polling the platform for the groups failed")
		return
	}
	g.merge(g.decode(records))
}

// decode decodes group records. It logs and skips those that are malformed or
// whose group id does not match the key.
func (g *Groups) decode(records []tables.Record) []GroupRecord {
	groups := make([]GroupRecord, 0, len(records))
	for _, record := range records {
		group := GroupRecord{Version: record.Version}
		err := json.Unmarshal(record.Value, &group.Group)
		if err != nil || string(group.Group.ID) != strings.TrimPrefix(record.Key, prefixGroups) {
			metrics.GetOrCreateCounter(`cyclamenpin_groups_malformed_total`).Inc()
			g.logger.Error().Err(err).Str("key", record.Key).Msg("group record is malformed")
			continue
		}
		groups = append(groups, group)
	}
	return groups
}

// merge replaces held records with those of higher versions. If a newer record
// has a lower term, the held term and primary are kept.
func (g *Groups) merge(records []GroupRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for _, record := range records {
		held, found := g.records[record.Group.ID]
		if found && record.Version <= held.Version {
			continue
		}
		if record.Group.Term < held.Group.Term {
			record.Group.Term = held.Group.Term
			record.Group.Primary = held.Group.Primary
		}
		g.records[record.Group.ID] = record
		changed = true
	}
	if changed {
		g.recordsHash = hashOf(g.sorted())
		g.notify()
	}
}

// notify signals the subscribers. The caller holds mu.
func (g *Groups) notify() {
	for subscriber := range g.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// hash returns the hash of all held records.
func (g *Groups) hash() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recordsHash
}

// messageFor returns the hash of all held records, and the records themselves
// if the peer's hash differs.
func (g *Groups) messageFor(peerHash string) (string, []GroupRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recordsHash == peerHash {
		return g.recordsHash, nil
	}
	return g.recordsHash, g.sorted()
}
