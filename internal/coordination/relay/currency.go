package relay

import (
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// behind records since when another instance has had a newer configuration, as a
// state.Instant; 0 while none has.
type behind struct{ since atomic.Int64 }

// update records whether this instance is behind now and returns for how long it has
// been.
func (b *behind) update(isBehind bool, now state.Instant) time.Duration {
	if !isBehind {
		b.since.Store(0)
		return 0
	}
	b.since.CompareAndSwap(0, int64(now))
	return max(0, now.Sub(state.Instant(b.since.Load())))
}

// currency returns what is known of how current a routing table is.
func (e *Engine) currency(table *state.RoutingTable) identity.Currency {
	newest, _ := e.Leadership.NewestConfiguration()
	return identity.Currency{
		Age:    e.Directory.ConfigurationAge(),
		Behind: e.behind.update(newest > table.Version, e.Clock.Now()),
	}
}

// isNewest reports whether an instance that has just started may serve with a routing
// table: it must not accept keys that were withdrawn in a version which another
// instance has had. The store may hold an older version after it was restored.
func (e *Engine) isNewest(table *state.RoutingTable) bool {
	newest, known := e.Leadership.NewestConfiguration()
	return known && newest <= table.Version
}

// Serviceable reports whether the configuration may be used for new sessions.
func (e *Engine) Serviceable() bool {
	table := e.Directory.Routes()
	return table != nil && (e.wasReady.Load() || e.isNewest(table)) && e.Identity.Doubt(table, e.currency(table)) == 0
}
