// Package directory caches what the shared store holds about routes and
// databases: the newest routing table, which is never replaced by an older
// version, and the registered databases.
//
// Locks: Directory.mu is a leaf; callbacks run without it.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// reregistrationGrace is how long a database stays listed after its
// registration disappeared during an outage of the store, or was replaced by one that
// can't be decoded. Databases register again within about two seconds of the store's
// return, and write their registration again all the time.
const reregistrationGrace = 2500 * time.Millisecond

const (
	// removedRunMemory is how long a removed database is remembered, so that a copy
	// of the store that still lists it does not bring it back, and as one that may
	// return with its log.
	removedRunMemory = time.Minute
	// unconfirmedTime is how long a registration that had been removed before an era
	// of the store is not used. Until then a live database has written it again, and
	// that of a database that is gone has expired.
	unconfirmedTime = 5 * time.Second
)

// Decoder decodes the operators' configuration and the databases' registrations.
type Decoder interface {
	ParseConfiguration(value []byte) (*state.RoutingTable, error)
	ParseServer(key string, value []byte) (state.Server, error)
}

// Entry is a registered database.
type Entry struct {
	state.Server
	// LeavingSince is when this instance first read that the database is
	// leaving; zero while it is not.
	LeavingSince state.Instant
	// firstLeaving is when this instance first read that this run is leaving, also if it
	// was said not to be since; zero if it never read so.
	firstLeaving state.Instant
	// missingSince is when the registration disappeared or could no longer be decoded,
	// while the entry is kept for reregistrationGrace.
	missingSince state.Instant
}

// removedRun is a run of a database that was removed.
type removedRun struct {
	server state.Server
	at     state.Instant
}

// syncReplicas is how many replicas acknowledge commits, as of a version of the
// configuration.
type syncReplicas struct {
	copies  int
	version uint64
}

// heldRegistration is a registration that is used once it has stood until the given time.
type heldRegistration struct {
	server   state.Server
	usableAt state.Instant
}

// Missing is a database whose registration disappeared: it has ended, or is cut off from
// the store.
type Missing struct {
	state.Server
	Since state.Instant
}

// Directory is the cache of the routing table and of the registered databases.
// It is safe for concurrent use.
type Directory struct {
	decoder Decoder
	clock   state.Clock
	log     zerolog.Logger

	// configurationKey holds the table and key of the configuration's row.
	configurationKey rowstore.Row
	routes           atomic.Pointer[state.RoutingTable]
	// configurationRowVersion is the version of that row when it was last
	// read, 0 if the row did not exist.
	configurationRowVersion atomic.Uint64
	configurationRead       atomic.Bool
	// configurationConfirmed is the latest time, as a state.Instant, at which the
	// row was known to be the one that was last read.
	configurationConfirmed atomic.Int64
	// stalenessBounds holds the tightest staleness bound of each group's routes.
	stalenessBounds atomic.Pointer[map[state.GroupID]time.Duration]

	mu      sync.Mutex
	servers map[state.DatabaseID]Entry
	// removed holds the last runs of databases that were removed lately.
	removed map[state.DatabaseID]removedRun
	// held holds registrations that were read again after their removal,
	// because the store was restored from a copy, and those that contradict what is
	// known of the database.
	held map[state.DatabaseID]heldRegistration
	// refused holds the row versions of the registrations that can't be decoded.
	refused map[state.DatabaseID]uint64
	// named holds the groups that a configuration has named; nil before the first one.
	// Registrations of others are not used.
	named map[state.GroupID]bool
	// syncReplicas holds what the last configuration said that lists each group.
	syncReplicas map[state.GroupID]syncReplicas
	// afterOutage is that of the last update.
	afterOutage bool
	// unsettled is set while an entry has no registration, or one is not used yet.
	unsettled atomic.Bool
	// eraBegan is when the newest era of the store was first seen.
	eraBegan state.Instant
	// byGroup is replaced whenever servers changes.
	byGroup atomic.Pointer[map[state.GroupID][]Entry]
	// onRemoved is called with each database that is no longer registered.
	onRemoved func(state.DatabaseID)
}

// New returns an empty directory. configurationKey gives the table and key of
// the row that holds the configuration.
func New(decoder Decoder, configurationKey rowstore.Row, clock state.Clock, log zerolog.Logger, onRemoved func(state.DatabaseID)) *Directory {
	d := &Directory{decoder: decoder, configurationKey: configurationKey, clock: clock, log: log, servers: make(map[state.DatabaseID]Entry), onRemoved: onRemoved}
	d.removed, d.held = make(map[state.DatabaseID]removedRun), make(map[state.DatabaseID]heldRegistration)
	d.refused, d.syncReplicas = make(map[state.DatabaseID]uint64), make(map[state.GroupID]syncReplicas)
	d.byGroup.Store(&map[state.GroupID][]Entry{})
	d.stalenessBounds.Store(&map[state.GroupID]time.Duration{})
	return d
}

// Routes returns the routing table in force, or nil before the first one has
// been read.
func (d *Directory) Routes() *state.RoutingTable {
	return d.routes.Load()
}

// KeysVersion returns the version of the configuration in force if it may hold keys,
// otherwise 0.
func (d *Directory) KeysVersion() uint64 {
	if table := d.Routes(); table != nil && table.HasWorkspaces {
		return table.Version
	}
	return 0
}

// StalenessBound returns the tightest staleness bound of the routes to a group
// that replicas may serve. It returns false if there is none.
func (d *Directory) StalenessBound(group state.GroupID) (time.Duration, bool) {
	bound, ok := (*d.stalenessBounds.Load())[group]
	return bound, ok
}

// Servers returns the registered databases of a group that a configuration has named,
// ordered by id. The caller must not modify the slice.
func (d *Directory) Servers(group state.GroupID) []Entry {
	return (*d.byGroup.Load())[group]
}

// Groups returns the named groups that have a registered database, sorted.
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

// SyncReplicas returns how many replicas of a group must have received a commit before
// it is acknowledged, and the version of the last configuration that lists the group. known
// is false before the first configuration.
func (d *Directory) SyncReplicas(group state.GroupID) (copies int, version uint64, known bool) {
	table := d.Routes()
	if table == nil {
		return 0, 0, false
	}
	if limits, listed := table.Groups[group]; listed {
		return limits.SyncReplicas, table.Version, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.syncReplicas[group]
	return last.copies, last.version, true
}

// Missing returns the databases of a group that lost their registration within the last
// minute.
func (d *Directory) Missing(group state.GroupID) []Missing {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var missing []Missing
	for id, run := range d.removed {
		_, registered := d.servers[id]
		if run.server.Group == group && !registered && now.Sub(run.at) <= removedRunMemory {
			missing = append(missing, Missing{Server: run.server, Since: run.at})
		}
	}
	return missing
}

// AddressOf returns the address of a registered database of a named group.
func (d *Directory) AddressOf(id state.DatabaseID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, known := d.servers[id]
	return entry.Address, known && d.isNamed(entry.Group)
}

// ApplyConfiguration applies changes of the operators' table.
func (d *Directory) ApplyConfiguration(update rowstore.Update) {
	for _, row := range update.Rows {
		if row.Key == d.configurationKey.Key {
			d.applyConfigurationRow(row)
		}
	}
	d.configurationRead.Store(true)
	d.ConfirmConfiguration(update.RequestedAt)
}

// ConfirmConfiguration records that at the given time the row of WatchedRows was the
// one that was last read.
func (d *Directory) ConfirmConfiguration(at state.Instant) {
	for {
		known := d.configurationConfirmed.Load()
		if int64(at) <= known || d.configurationConfirmed.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ConfigurationAge returns how long ago the configuration was last known to be the
// store's.
func (d *Directory) ConfigurationAge() time.Duration {
	return d.clock.Now().Sub(state.Instant(d.configurationConfirmed.Load()))
}

// BeginEra ends the use of row versions, and of registrations in the copy that the
// store was restored from. It is a listener of rowstore.EraStore.OnNewEra.
func (d *Directory) BeginEra(uint64) {
	d.configurationRead.Store(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eraBegan = d.clock.Now()
}

// WatchedRows returns a condition that holds while the configuration's row has
// the version that was last read. Transactions that include it detect a newer
// configuration. It returns nil before the first read.
func (d *Directory) WatchedRows() []rowstore.Condition {
	if !d.configurationRead.Load() {
		return nil
	}
	return []rowstore.Condition{{Table: d.configurationKey.Table, Key: d.configurationKey.Key, Version: d.configurationRowVersion.Load()}}
}

// applyConfigurationRow puts the configuration of a row in force. A
// configuration whose version is not newer, and a row that can't be decoded,
// are ignored.
func (d *Directory) applyConfigurationRow(row rowstore.Row) {
	if row.Removed {
		d.configurationRowVersion.Store(0)
		return
	}
	d.configurationRowVersion.Store(row.Version)
	table, err := d.decoder.ParseConfiguration(row.Value)
	if err != nil {
		d.log.Error().Err(err).Uint64("row_version", row.Version).Msg("configuration refused, the last good one stays in force")
		return
	}
	current := d.routes.Load()
	if current != nil && table.Version <= current.Version {
		return
	}
	d.nameGroups(table)
	d.routes.Store(table)
	bounds := stalenessBounds(table)
	d.stalenessBounds.Store(&bounds)
	d.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Int("groups", len(table.Groups)).Msg("configuration in force")
}

// nameGroups lists the databases of the groups that a configuration names. Those that
// earlier ones named stay, since transactions may still run there.
func (d *Directory) nameGroups(table *state.RoutingTable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.named == nil {
		d.named = make(map[state.GroupID]bool, len(table.Groups))
	}
	for group, limits := range table.Groups {
		d.named[group] = true
		d.syncReplicas[group] = syncReplicas{limits.SyncReplicas, table.Version}
	}
	for _, route := range table.Routes {
		d.named[route.Group] = true
	}
	d.publish()
}

// isNamed reports whether a configuration has named a group, or none was read yet. The
// lock must be held.
func (d *Directory) isNamed(group state.GroupID) bool {
	return d.named == nil || d.named[group]
}

// stalenessBounds returns the tightest staleness bound of each group's routes that
// replicas may serve.
func stalenessBounds(table *state.RoutingTable) map[state.GroupID]time.Duration {
	bounds := make(map[state.GroupID]time.Duration)
	for _, route := range table.Routes {
		if route.Consistency == state.ConsistencyPrimary {
			continue
		}
		if bound, ok := bounds[route.Group]; !ok || route.MaxStaleness < bound {
			bounds[route.Group] = route.MaxStaleness
		}
	}
	return bounds
}

// ApplyServers applies changed registrations. Databases whose registration
// disappears after a recent outage of the store, or can't be decoded, get time to
// register again.
func (d *Directory) ApplyServers(update rowstore.Update) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if update.AfterOutage && !d.afterOutage {
		d.restartGrace(now)
	}
	d.afterOutage = update.AfterOutage
	if len(update.Rows) > 0 || update.Complete {
		d.applyServers(update, now)
	}
	// A response shows no more than what the store held when it was asked.
	d.removeExpired(update.RequestedAt)
	d.acceptHeld(update.RequestedAt)
	d.publish()
}

// Unsettled reports whether a database is listed only until it must have registered
// again, or a registration is not used yet, so that each response of the store counts.
func (d *Directory) Unsettled() bool { return d.unsettled.Load() }

// applyServers applies an update row by row. A complete update also covers the
// databases that it does not list. The lock must be held.
func (d *Directory) applyServers(update rowstore.Update, now state.Instant) {
	listed := make(map[state.DatabaseID]bool, len(update.Rows))
	for _, row := range update.Rows {
		id := state.DatabaseID(row.Key)
		earlier := d.held[id]
		delete(d.held, id)
		if row.Removed {
			delete(d.refused, id)
			d.handleMissing(id, now, update.AfterOutage)
			continue
		}
		listed[id] = true
		server, err := d.decoder.ParseServer(row.Key, row.Value)
		if err == nil && server.Born == 0 && d.statedStart(row) {
			err = eris.Errorf("registration %q: no start time, unlike before", row.Key)
		}
		if err != nil {
			d.refuse(row, now, err)
			continue
		}
		delete(d.refused, id)
		switch {
		case update.Complete && d.wasRemoved(server, now):
			d.hold(server, earlier, now, "it was removed before the store was restored")
		case d.isOfEarlierRun(server):
			d.hold(server, earlier, now, "it is of an earlier run")
		case d.isElsewhere(server):
			d.hold(server, earlier, now, "the same run is known at another address or in another group")
		default:
			if d.contradictsLeaving(server) {
				d.hold(server, earlier, now, "the same run was leaving")
			}
			d.register(server, now)
		}
	}
	if !update.Complete {
		return
	}
	for id := range d.servers {
		if !listed[id] {
			d.handleMissing(id, now, update.AfterOutage)
		}
	}
	maps.DeleteFunc(d.refused, func(id state.DatabaseID, _ uint64) bool { return !listed[id] })
	maps.DeleteFunc(d.held, func(id state.DatabaseID, _ heldRegistration) bool { return !listed[id] })
}

// refuse handles a registration that can't be used, which another writer left. It
// names no database, but a live one in whose place it stands soon writes its own again.
// The lock must be held.
func (d *Directory) refuse(row rowstore.Row, now state.Instant, cause error) {
	id := state.DatabaseID(row.Key)
	d.awaitRegistration(id, now)
	if version, known := d.refused[id]; known && version == row.Version {
		return
	}
	d.refused[id] = row.Version
	_, listed := d.servers[id]
	d.log.Warn().Err(cause).Uint64("row_version", row.Version).Bool("replaces_database", listed).Msg("registration refused")
}

// statedStart reports whether a database stated a start time before, or the row was
// refused for lack of one. The lock must be held.
func (d *Directory) statedStart(row rowstore.Row) bool {
	id := state.DatabaseID(row.Key)
	version, refused := d.refused[id]
	return d.servers[id].Born != 0 || d.removed[id].server.Born != 0 || refused && version == row.Version
}

// wasRemoved reports whether a registration is that of a run which was removed before
// the store was restored. The lock must be held.
func (d *Directory) wasRemoved(server state.Server, now state.Instant) bool {
	if d.eraBegan == 0 || now.Sub(d.eraBegan) > unconfirmedTime {
		return false
	}
	run, found := d.removed[server.ID]
	return found && server.Born != 0 && server.Born <= run.server.Born
}

// isOfEarlierRun reports whether a registration is of a run before the known one. It
// comes from a copy that the store was restored from, or was written late; or the known
// start time is another writer's. The lock must be held.
func (d *Directory) isOfEarlierRun(server state.Server) bool {
	return server.Born != 0 && server.Born < d.servers[server.ID].Born
}

// isElsewhere reports whether a registration places the known run elsewhere. A database
// changes address and group with a restart only, so one of the two is another writer's.
// The lock must be held.
func (d *Directory) isElsewhere(server state.Server) bool {
	known := d.servers[server.ID]
	return server.Born != 0 && server.Born == known.Born && (server.Address != known.Address || server.Group != known.Group)
}

// contradictsLeaving reports whether a registration says that the known run, which was leaving, is
// not. It comes from a copy that the store was restored from, or was written late; or
// another writer's said that the database leaves. The lock must be held.
func (d *Directory) contradictsLeaving(server state.Server) bool {
	known := d.servers[server.ID]
	return known.Leaving && !server.Leaving && server.Born != 0 && server.Born == known.Born
}

// hold keeps a registration unused until a live database has written a newer one and, in
// a new era, that of a gone database has expired. One that says the same as the one held
// before keeps its time. The lock must be held.
func (d *Directory) hold(server state.Server, earlier heldRegistration, now state.Instant, reason string) {
	if earlier.usableAt != 0 && earlier.server.Born == server.Born && earlier.server.Address == server.Address && earlier.server.Group == server.Group {
		d.held[server.ID] = heldRegistration{server, earlier.usableAt}
		return
	}
	usableAt := now.Add(reregistrationGrace)
	if d.eraBegan != 0 {
		usableAt = max(usableAt, d.eraBegan.Add(unconfirmedTime))
	}
	d.held[server.ID] = heldRegistration{server, usableAt}
	d.log.Info().Str("database", string(server.ID)).Str("reason", reason).Int64("born", server.Born).Int64("known", d.servers[server.ID].Born).
		Str("address", server.Address).Str("group", string(server.Group)).Msg("registration not used yet")
}

// acceptHeld registers the databases whose registration has stood until the given
// time for long enough. The lock must be held.
func (d *Directory) acceptHeld(seen state.Instant) {
	for id, held := range d.held {
		if seen.Sub(held.usableAt) > 0 {
			delete(d.held, id)
			d.list(held.server, d.clock.Now())
		}
	}
}

// register adds or updates an entry. A run that was leaving stays so at first. The lock
// must be held.
func (d *Directory) register(server state.Server, now state.Instant) {
	server.Leaving = server.Leaving || d.contradictsLeaving(server)
	d.list(server, now)
}

// list adds or updates an entry. The lock must be held.
func (d *Directory) list(server state.Server, now state.Instant) {
	old, known := d.servers[server.ID]
	entry := Entry{Server: server}
	if known && old.Born == server.Born {
		entry.firstLeaving = old.firstLeaving
	}
	if server.Leaving {
		entry.LeavingSince = cmp.Or(old.LeavingSince, entry.firstLeaving, now)
		entry.firstLeaving = entry.LeavingSince
	}
	if !known || old.Role != server.Role || old.Leaving != server.Leaving || old.Address != server.Address || old.Born != server.Born {
		d.log.Info().Str("database", string(server.ID)).Str("group", string(server.Group)).Stringer("role", server.Role).
			Bool("leaving", server.Leaving).Str("address", server.Address).Str("data_centre", string(server.DataCentre)).Bool("group_named", d.isNamed(server.Group)).Msg("database registered")
	}
	d.servers[server.ID] = entry
}

// handleMissing removes a database without a registration. After an outage of
// the store it keeps a database that is not leaving and records since when the
// registration has been missing. The lock must be held.
func (d *Directory) handleMissing(id state.DatabaseID, now state.Instant, afterOutage bool) {
	entry, known := d.servers[id]
	if !known {
		return
	}
	if afterOutage && !entry.Leaving {
		d.awaitRegistration(id, now)
		return
	}
	d.remove(id, "registration removed")
}

// awaitRegistration keeps a listed database for reregistrationGrace. The lock must be
// held.
func (d *Directory) awaitRegistration(id state.DatabaseID, now state.Instant) {
	if entry, known := d.servers[id]; known && entry.missingSince == 0 {
		entry.missingSince = now
		d.servers[id] = entry
	}
}

// restartGrace gives all awaited databases, and those whose registration is held, the full
// time again, since during an outage they could not register. The lock must be held.
func (d *Directory) restartGrace(now state.Instant) {
	for id, entry := range d.servers {
		if entry.missingSince != 0 {
			entry.missingSince = now
			d.servers[id] = entry
		}
	}
	for id, held := range d.held {
		held.usableAt = max(held.usableAt, now.Add(reregistrationGrace))
		d.held[id] = held
	}
}

// remove drops an entry and calls onRemoved in the background. The lock must be
// held.
func (d *Directory) remove(id state.DatabaseID, reason string) {
	for other, run := range d.removed {
		if d.clock.Now().Sub(run.at) > removedRunMemory {
			delete(d.removed, other)
		}
	}
	entry := d.servers[id]
	d.removed[id] = removedRun{server: entry.Server, at: d.clock.Now()}
	delete(d.servers, id)
	d.log.Info().Str("database", string(id)).Str("reason", reason).Msg("database removed from the directory")
	if d.onRemoved != nil {
		go d.onRemoved(id)
	}
}

// removeExpired drops the databases that had not registered again within
// reregistrationGrace when the store was asked at the given time. The lock must be held.
func (d *Directory) removeExpired(seen state.Instant) {
	for id, entry := range d.servers {
		if entry.missingSince != 0 && seen.Sub(entry.missingSince) > reregistrationGrace {
			d.remove(id, "not registered again in time")
		}
	}
}

// publish rebuilds byGroup and unsettled from the current entries. The lock must be held.
func (d *Directory) publish() {
	groups := make(map[state.GroupID][]Entry)
	unsettled := len(d.held) > 0
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		entry := d.servers[id]
		unsettled = unsettled || entry.missingSince != 0
		if !d.isNamed(entry.Group) {
			continue
		}
		groups[entry.Group] = append(groups[entry.Group], entry)
	}
	d.byGroup.Store(&groups)
	d.unsettled.Store(unsettled)
}
