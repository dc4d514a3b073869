package relay

import (
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// behindGrace is how long an instance that serves may go on after another one has
// stated a newer configuration. A new configuration reaches all instances well within
// this time.
const behindGrace = 3 * time.Second

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
	return now.Sub(state.Instant(b.since.Load()))
}

// Outdated reports whether the instance must open no sessions because another one has
// had a newer configuration for some time. An instance that has just started must not
// serve with an older configuration at all, which ready checks.
func (e *Engine) Outdated() bool {
	table := e.Directory.Routes()
	if table == nil {
		return false
	}
	newest, _ := e.Leadership.NewestConfiguration()
	return e.behind.update(newest > table.Version, e.Clock.Now()) > behindGrace
}

// Serviceable reports whether the instance may use its configuration for new sessions.
func (e *Engine) Serviceable() bool {
	table := e.Directory.Routes()
	if table == nil || e.Outdated() {
		return false
	}
	newest, known := e.Leadership.NewestConfiguration()
	if !e.wasReady.Load() && (!known || newest > table.Version) {
		return false
	}
	return !e.Identity.Unverified(table, e.Directory.ConfigurationAge())
}
