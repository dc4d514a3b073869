package rowstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

// The instances of a data centre share the watch of a table. Those that watch it send
// what the store responds, and every noticeInterval up to which version they know the
// table, to the others. An instance that receives such notices from one which precedes
// it in a fixed order does not call the store. If they stop, or show that it lacks a
// change, it watches the table itself from the version that it knows. So a notice that
// is lost, or a neighbour that is stopped, paused or cut off, delays a change by less
// than a lost response of the store does.

const (
	// SharedWait is a FollowerConfig.SharedWait. Together with noticeTimeout it is
	// below ShortWait: a neighbour may have lost the store unnoticed for as long.
	SharedWait = 3 * time.Second
	// noticeInterval is the time between two notices without changes.
	noticeInterval = 500 * time.Millisecond
	// noticeTimeout is how long after the last notice a table is watched again: two
	// notices may be lost.
	noticeTimeout = 1300 * time.Millisecond
	// maxStateAge is how old the last response of the store may be in a notice. It is
	// longer than a shared watch.
	maxStateAge = SharedWait + 2*time.Second
	// maxNoticeBytes is the largest size of a notice, which must fit into a datagram.
	// Neighbours read what is larger from the store.
	maxNoticeBytes = 16 << 10
	// maxNotices bounds the notices that wait to be handled.
	maxNotices = 16
)

// Notices of neighbours by whether they showed that a change was missed.
var (
	noticesFollowed = metrics.GetOrCreateCounter(`cyclamenpin_shared_watch_notices_total{result="followed"}`)
	noticesBehind   = metrics.GetOrCreateCounter(`cyclamenpin_shared_watch_notices_total{result="behind"}`)
)

// Messenger sends datagrams to other instances. Datagrams may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Neighbours lists the other instances of this data centre that share a watch.
type Neighbours interface {
	DataCentrePeers() []string
}

// notice is a message about a table. The sender knows all changes up to Version, and
// there are none after Since but Rows.
type notice struct {
	Table   string           `msgpack:"t"`
	From    state.InstanceID `msgpack:"f"`
	Era     uint64           `msgpack:"e"`
	Since   uint64           `msgpack:"s"`
	Version uint64           `msgpack:"v"`
	Rows    []noticeRow      `msgpack:"r"`
	// AfterOutage is that of the sender's Update.
	AfterOutage bool `msgpack:"o"`
}

type noticeRow struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"d"`
	Version uint64 `msgpack:"v"`
	Removed bool   `msgpack:"x"`
}

// watchState is what an instance that watches the table knows.
type watchState struct {
	era, since, version uint64
	respondedAt         state.Instant
}

// Sharing exchanges notices about a table with the neighbours.
type Sharing struct {
	table      string
	self       state.InstanceID
	neighbours Neighbours
	messenger  Messenger
	clock      state.Clock
	log        zerolog.Logger

	// heardAt is when the last notice of a preceding instance was received.
	heardAt atomic.Int64
	// watching is nil while this instance does not watch the table.
	watching atomic.Pointer[watchState]
	received chan notice
}

// NewSharing returns the sharing of a table's watch by an instance.
func NewSharing(table string, self state.InstanceID, neighbours Neighbours, messenger Messenger, clock state.Clock, log zerolog.Logger) *Sharing {
	return &Sharing{
		table: table, self: self, neighbours: neighbours, messenger: messenger, clock: clock, log: log, received: make(chan notice, maxNotices),
	}
}

// precedes reports whether an instance's notices count for another one. The order does
// not depend on what either knows, so no two instances wait for each other.
func precedes(first, second state.InstanceID) bool {
	a, b := xxhash.Sum64String(string(first)), xxhash.Sum64String(string(second))
	return a < b || a == b && first < second
}

// Receive handles a notice. It never returns a response.
func (s *Sharing) Receive(datagram []byte) []byte {
	var received notice
	if err := packed.Unmarshal(datagram, &received); err != nil {
		s.log.Warn().Err(err).Int("bytes", len(datagram)).Msg("cannot decode a neighbour's notice")
		return nil
	}
	if received.Table != s.table || !precedes(received.From, s.self) {
		return nil
	}
	s.heardAt.Store(int64(s.clock.Now()))
	select {
	case s.received <- received:
	default: // the next notice shows what is missing
	}
	return nil
}

// silentIn returns the time until the notices of preceding instances count as stopped.
func (s *Sharing) silentIn() time.Duration {
	heardAt := state.Instant(s.heardAt.Load())
	if heardAt == 0 {
		return 0
	}
	return noticeTimeout - s.clock.Now().Sub(heardAt)
}

// depended reports whether other instances may depend on this one's watch.
func (s *Sharing) depended() bool {
	return s.silentIn() <= 0 && len(s.neighbours.DataCentrePeers()) > 0
}

// run sends notices until ctx ends.
func (s *Sharing) run(ctx context.Context) {
	state.Every(ctx, noticeInterval, func() {
		known := s.watching.Load()
		if known != nil && s.clock.Now().Sub(known.respondedAt) < maxStateAge {
			s.send(notice{Era: known.era, Since: known.since, Version: known.version})
		}
	})
}

// send sends a notice unless a preceding instance does.
func (s *Sharing) send(message notice) {
	if s.silentIn() > 0 {
		return
	}
	message.Table, message.From = s.table, s.self
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		s.log.Error().Err(err).Str("table", s.table).Msg("encoding a notice failed")
		return
	}
	if len(encoded) > maxNoticeBytes {
		return
	}
	for _, address := range s.neighbours.DataCentrePeers() {
		s.messenger.Send(address, encoded)
	}
}

// publish sends the rows of a response to the neighbours. since is the version of the
// last change before them.
func (s *Sharing) publish(update Update, since uint64) {
	if update.Complete || len(update.Rows) == 0 {
		return
	}
	message := notice{Era: update.Era, Since: since, Version: update.Version, AfterOutage: update.AfterOutage}
	for _, row := range update.Rows {
		message.Rows = append(message.Rows, noticeRow{Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	s.send(message)
}

// snapshot returns the notice as a response of the store.
func (n notice) snapshot() Snapshot {
	snapshot := Snapshot{Version: n.Version, Era: n.Era}
	for _, row := range n.Rows {
		snapshot.Rows = append(snapshot.Rows, Row{Table: n.Table, Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	return snapshot
}

// followNeighbour applies the notices of a preceding instance instead of watching the
// table. It returns when the table must be watched.
func (f *Follower) followNeighbour(ctx context.Context) {
	for ctx.Err() == nil {
		if unavailable, _ := f.Availability.status(); unavailable || f.unsettled() || f.afterRecentOutage(f.Clock.Now()) {
			return
		}
		silentIn := f.Sharing.silentIn()
		if silentIn <= 0 {
			return
		}
		silent := time.NewTimer(silentIn)
		select {
		case <-ctx.Done():
		case <-silent.C:
		case <-f.refresh:
			silent.Stop()
			return
		case received := <-f.Sharing.received:
			if !f.applyNotice(received) {
				noticesBehind.Inc()
				silent.Stop()
				return
			}
			noticesFollowed.Inc()
		}
		silent.Stop()
	}
}

// applyNotice applies a notice. It returns false if a change before it is missing.
func (f *Follower) applyNotice(received notice) bool {
	now := f.Clock.Now()
	switch {
	case received.Era < f.era:
		return true // sent before the era began
	case received.Era != f.era || f.newestEra.Load() != f.era || f.afterVersion < received.Since:
		return false
	case f.afterVersion >= received.Version && len(received.Rows) > 0:
		return true
	case len(received.Rows) > 0:
		f.changedVersion = max(f.changedVersion, received.Version)
	case now.Sub(f.appliedAt) < f.Wait:
		f.afterVersion = max(f.afterVersion, received.Version)
		return true
	}
	f.appliedAt = now
	f.Apply(Update{Snapshot: received.snapshot(), RequestedAt: now, RespondedAt: now, AfterOutage: received.AfterOutage})
	f.afterVersion = max(f.afterVersion, received.Version)
	return true
}

// share tells the neighbours of a response to a call.
func (f *Follower) share(update Update) {
	since := f.changedVersion
	if update.Complete || len(update.Rows) > 0 {
		f.changedVersion = max(f.changedVersion, update.Version)
	}
	f.appliedAt = update.RespondedAt
	if f.Sharing == nil {
		return
	}
	f.Sharing.publish(update, since)
	f.Sharing.watching.Store(&watchState{era: update.Era, since: f.changedVersion, version: f.afterVersion, respondedAt: update.RespondedAt})
}

// stopSharing ends the notices until the store's next response.
func (f *Follower) stopSharing() {
	if f.Sharing != nil {
		f.Sharing.watching.Store(nil)
	}
}
