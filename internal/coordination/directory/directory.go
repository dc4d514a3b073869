// Package directory holds what the shared store says of routes and databases:
// the newest routing table, which never goes back to an older version, and the
// databases that are registered.
//
// Locks: Directory.mu is a leaf; callbacks run without it.
package directory

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// relistGrace is how long a database stays listed that vanished while the
// store was away: registrations are back within about two seconds of the
// store's return.
const relistGrace = 2500 * time.Millisecond

// Decoder decodes the rows of the operators and of the databases.
type Decoder interface {
	ParseConfiguration(value []byte) (*state.RoutingTable, error)
	ParseServer(key string, value []byte) (state.Server, error)
}

// Entry is a registered database.
type Entry struct {
	state.Server
	// LeavingSince is when this instance learned that the database leaves;
	// zero while it does not.
	LeavingSince state.Instant
	// missingSince is when the registration vanished, while the entry is kept
	// on for relistGrace.
	missingSince state.Instant
}

// Directory is safe for concurrent use.
type Directory struct {
	decoder Decoder
	clock   state.Clock
	log     zerolog.Logger

	// source names the row that holds the configuration.
	source rowstore.Row
	routes atomic.Pointer[state.RoutingTable]
	// configurationRow is the version of that row when it was last read, 0
	// where it did not exist.
	configurationRow  atomic.Uint64
	configurationRead atomic.Bool

	mu      sync.Mutex
	servers map[state.DatabaseID]Entry
	// byGroup is replaced whenever servers changes.
	byGroup atomic.Pointer[map[state.GroupID][]Entry]
	// onGone is told of each database that is no longer registered.
	onGone func(state.DatabaseID)
}

// New returns an empty directory, whose configuration is in the row source.
func New(decoder Decoder, source rowstore.Row, clock state.Clock, log zerolog.Logger, onGone func(state.DatabaseID)) *Directory {
	d := &Directory{decoder: decoder, source: source, clock: clock, log: log, servers: make(map[state.DatabaseID]Entry), onGone: onGone}
	d.byGroup.Store(&map[state.GroupID][]Entry{})
	return d
}

// Routes returns the routing table in force, nil before the first.
func (d *Directory) Routes() *state.RoutingTable {
	return d.routes.Load()
}

// Servers returns the registered databases of a group, ordered by id. The
// slice must not be changed.
func (d *Directory) Servers(group state.GroupID) []Entry {
	return (*d.byGroup.Load())[group]
}

// Groups returns the groups with a registered database, in order.
func (d *Directory) Groups() []state.GroupID {
	return slices.Sorted(maps.Keys(*d.byGroup.Load()))
}

// Server returns a registered database of a group.
func (d *Directory) Server(group state.GroupID, id state.DatabaseID) (Entry, bool) {
	for _, entry := range d.Servers(group) {
		if entry.ID == id {
			return entry, true
		}
	}
	return Entry{}, false
}

// AddressOf returns the address of a registered database.
func (d *Directory) AddressOf(id state.DatabaseID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, known := d.servers[id]
	return entry.Address, known
}

// ApplyConfiguration takes over changes of the operators' table.
func (d *Directory) ApplyConfiguration(update rowstore.Update) {
	for _, row := range update.Rows {
		if row.Key == d.source.Key {
			d.applyConfiguration(row)
		}
	}
	d.configurationRead.Store(true)
}

// FollowedRows returns the row of the configuration as it was last read, so
// that a change of it can be noticed elsewhere; nothing before the first read.
func (d *Directory) FollowedRows() []rowstore.Condition {
	if !d.configurationRead.Load() {
		return nil
	}
	return []rowstore.Condition{{Table: d.source.Table, Key: d.source.Key, Version: d.configurationRow.Load()}}
}

// applyConfiguration takes over the operators' row. Versions that are not
// newer, and a row that can't be read, change nothing.
func (d *Directory) applyConfiguration(row rowstore.Row) {
	if row.Removed {
		d.configurationRow.Store(0)
		return
	}
	d.configurationRow.Store(row.Version)
	table, err := d.decoder.ParseConfiguration(row.Value)
	if err != nil {
		d.log.Error().Err(err).Uint64("row_version", row.Version).Msg("configuration refused, the last good one stays in force")
		return
	}
	current := d.routes.Load()
	if current != nil && table.Version <= current.Version {
		return
	}
	d.routes.Store(table)
	d.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Int("groups", len(table.Groups)).Msg("configuration in force")
}

// ApplyServers takes over changed registrations. Databases that vanish while
// the store was lately unavailable are given time to register again.
func (d *Directory) ApplyServers(update rowstore.Update) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(update.Rows) > 0 || update.Complete {
		d.applyServers(update, now)
	}
	d.expire(now)
	d.publish()
}

// applyServers must be called with the lock held.
func (d *Directory) applyServers(update rowstore.Update, now state.Instant) {
	listed := make(map[state.DatabaseID]bool, len(update.Rows))
	for _, row := range update.Rows {
		id := state.DatabaseID(row.Key)
		if row.Removed {
			d.vanish(id, now, update.AfterOutage)
			continue
		}
		server, err := d.decoder.ParseServer(row.Key, row.Value)
		if err != nil {
			d.log.Warn().Err(err).Msg("registration ignored")
			continue
		}
		listed[id] = true
		d.register(server, now)
	}
	if !update.Complete {
		return
	}
	for id := range d.servers {
		if !listed[id] {
			d.vanish(id, now, update.AfterOutage)
		}
	}
}

// register must be called with the lock held.
func (d *Directory) register(server state.Server, now state.Instant) {
	entry := Entry{Server: server}
	old, known := d.servers[server.ID]
	if server.Leaving {
		entry.LeavingSince = now
		if known && old.LeavingSince != 0 {
			entry.LeavingSince = old.LeavingSince
		}
	}
	if !known || old.Role != server.Role || old.Leaving != server.Leaving || old.Address != server.Address || old.Born != server.Born {
		d.log.Info().Str("database", string(server.ID)).Str("group", string(server.Group)).Stringer("role", server.Role).
			Bool("leaving", server.Leaving).Str("address", server.Address).Str("data_centre", string(server.DataCentre)).Msg("database registered")
	}
	d.servers[server.ID] = entry
}

// vanish must be called with the lock held.
func (d *Directory) vanish(id state.DatabaseID, now state.Instant, keep bool) {
	entry, known := d.servers[id]
	if !known {
		return
	}
	if keep && !entry.Leaving {
		if entry.missingSince == 0 {
			entry.missingSince = now
			d.servers[id] = entry
		}
		return
	}
	d.remove(id, "registration removed")
}

// remove must be called with the lock held.
func (d *Directory) remove(id state.DatabaseID, reason string) {
	delete(d.servers, id)
	d.log.Info().Str("database", string(id)).Str("reason", reason).Msg("database gone")
	if d.onGone != nil {
		go d.onGone(id)
	}
}

// expire must be called with the lock held, while the store answers. It drops
// the databases whose registration did not come back in time.
func (d *Directory) expire(now state.Instant) {
	for id, entry := range d.servers {
		if entry.missingSince != 0 && now.Sub(entry.missingSince) > relistGrace {
			d.remove(id, "not registered again after the store's return")
		}
	}
}

// publish must be called with the lock held.
func (d *Directory) publish() {
	groups := make(map[state.GroupID][]Entry)
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		entry := d.servers[id]
		groups[entry.Group] = append(groups[entry.Group], entry)
	}
	d.byGroup.Store(&groups)
}
