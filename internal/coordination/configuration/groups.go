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

// prefixGroups, followed by a group's id, holds its state.Group.
const prefixGroups = "groups/"

// GroupKey returns the key of a group's record.
func GroupKey(id state.GroupID) string {
	return prefixGroups + string(id)
}

// GroupRecord is a group as recorded at one version of its record.
type GroupRecord struct {
	Group   state.Group `msgpack:"group" json:"group"`
	Version uint64      `msgpack:"version" json:"version"`
}

// GroupTables is what Groups needs of the platform's table service.
type GroupTables interface {
	tables.Reader
	tables.Scanner
	tables.Transactor
}

// Groups holds the newest known record of each database group. A record is
// never replaced by one of a lower version, and a group's recorded term never
// goes down. A running process does not forget a group: one that is to go is
// recorded without databases. All methods are safe for concurrent use.
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

// NewGroups returns an empty set of groups. Run fills it.
func NewGroups(service GroupTables, options FollowerOptions, logger zerolog.Logger) *Groups {
	return &Groups{
		tables:      service,
		options:     options.withDefaults(),
		logger:      logger,
		records:     make(map[state.GroupID]GroupRecord),
		subscribers: make(map[chan struct{}]struct{}),
	}
}

// Get returns a group that has databases.
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

// IDs returns the ids of All, or nil where no group is known yet.
func (g *Groups) IDs() []state.GroupID {
	var ids []state.GroupID
	for _, group := range g.All() {
		ids = append(ids, group.ID)
	}
	return ids
}

// sorted returns the records by id. The caller holds mu.
func (g *Groups) sorted() []GroupRecord {
	records := make([]GroupRecord, 0, len(g.records))
	for _, id := range slices.Sorted(maps.Keys(g.records)) {
		records = append(records, g.records[id])
	}
	return records
}

// Subscribe returns a channel that gets a value after records have changed,
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
		g.logger.Debug().Err(err).Msg("the platform could not be asked for the groups")
		return
	}
	g.merge(g.decode(records))
}

// decode leaves out records that are no groups, or whose id is not that of
// their key.
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

// merge takes the records that are newer than the held ones.
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

// notify wakes the subscribers. The caller holds mu.
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
// where the peer's hash differs.
func (g *Groups) messageFor(peerHash string) (string, []GroupRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recordsHash == peerHash {
		return g.recordsHash, nil
	}
	return g.recordsHash, g.sorted()
}
