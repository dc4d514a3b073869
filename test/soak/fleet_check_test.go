package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// maxDescribed is how many violations of a group are described one by one.
	maxDescribed = 12
	// aroundViolation is how long before a violation faults are listed with it.
	aroundViolation = 8 * time.Second
)

// observe passes the rows of a table to handle as they are written.
func (f *fleet) observe(table string, handle func(key string, fields map[string]any)) {
	client := f.store.Client(observer)
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	after := f.store.Version()
	for {
		select {
		case <-f.stopped:
			return
		default:
		}
		snapshot, err := client.Watch(ctx, table, after, time.Second)
		if err != nil {
			if listed, err := client.List(ctx, table); err == nil {
				after = listed.Version
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		after = snapshot.Version
		for _, row := range snapshot.Rows {
			var fields map[string]any
			if msgpack.Unmarshal(row.Value, &fields) == nil {
				handle(row.Key, fields)
			}
		}
	}
}

// check compares what clients observed with what the databases did.
func (f *fleet) check() {
	var calls []standin.Promotion
	for _, g := range f.groups {
		writes, reads := g.history.Acknowledged()
		promotions := g.Promotions()
		calls = append(calls, promotions...)
		effects := len(slices.DeleteFunc(slices.Clone(promotions), func(p standin.Promotion) bool { return p.Effect.IsZero() }))
		f.t.Logf("%s: %d writes and %d reads answered, %d promotion calls, %d took effect", g.id, writes, reads, len(promotions), effects)
		require.NotZero(f.t, writes)
		require.NotZero(f.t, reads)
		f.report(g, g.history.Check(g.Group, 0))
	}
	f.checkTokens(calls)
}

// checkTokens checks that fencing numbers never go down, and that no two holders use
// the same one.
func (f *fleet) checkTokens(calls []standin.Promotion) {
	slices.SortStableFunc(calls, func(a, b standin.Promotion) int { return a.Called.Compare(b.Called) })
	holders := make(map[uint64]state.InstanceID)
	var highest uint64
	for _, call := range calls {
		if call.Token < highest {
			f.t.Errorf("ONE: %s promotes %s with token %d at %s after %d", call.Holder, call.Database, call.Token, f.at(call.Called), highest)
		}
		highest = max(highest, call.Token)
		if other, used := holders[call.Token]; used && other != call.Holder {
			f.t.Errorf("ONE: %s and %s promote with token %d, the latter at %s", other, call.Holder, call.Token, f.at(call.Called))
		}
		holders[call.Token] = call.Holder
	}
}

// at returns a time in ms since the begin of the run, and as logs state it.
func (f *fleet) at(moment time.Time) string {
	return fmt.Sprintf("%d ms (%s)", moment.Sub(f.began).Milliseconds(), moment.UTC().Format("15:04:05.000"))
}

// report describes the violations in a group, its promotions and the faults before them.
func (f *fleet) report(g *fleetGroup, violations []string) {
	if len(violations) == 0 {
		return
	}
	f.t.Errorf("%s: %d violations", g.id, len(violations))
	for _, violation := range violations[:min(maxDescribed, len(violations))] {
		f.t.Log("  " + violation)
	}
	effects := make(map[state.DatabaseID]time.Time)
	for _, p := range g.Promotions() {
		effect := "no effect"
		if !p.Effect.IsZero() {
			effect = fmt.Sprintf("in effect at %s, term %d", f.at(p.Effect), p.Term)
			effects[p.Database] = p.Effect
		}
		f.t.Logf("  call of %s for %s, token %d at %s: %s", p.Holder, p.Database, p.Token, f.at(p.Called), effect)
	}
	f.reportSuperseded(g)
}

// reportSuperseded lists who wrote at superseded primaries, and which faults preceded.
func (f *fleet) reportSuperseded(g *fleetGroup) {
	type writer struct {
		database state.DatabaseID
		caller   string
	}
	first, last, count := make(map[writer]time.Time), make(map[writer]time.Time), make(map[writer]int)
	var earliest time.Time
	for _, c := range g.Commits() {
		if !c.Superseded || !g.history.AcknowledgedAny(c.IDs) {
			continue
		}
		w := writer{c.Database, c.Caller}
		if count[w]++; count[w] == 1 {
			first[w] = c.At
		}
		last[w] = c.At
		if earliest.IsZero() {
			earliest = c.At
		}
	}
	for _, w := range slices.SortedFunc(maps.Keys(count), func(a, b writer) int { return strings.Compare(a.caller, b.caller) }) {
		f.t.Logf("  %s committed %d acknowledged transactions at superseded %s from %s to %s", w.caller, count[w], w.database, f.at(first[w]), f.at(last[w]))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.disturbances {
		if earliest.IsZero() || d.began.Before(earliest.Add(aroundViolation)) && (d.end.IsZero() || d.end.After(earliest.Add(-aroundViolation))) {
			f.t.Logf("  fault: %s from %s to %s", d.what, f.at(d.began), f.at(d.end))
		}
	}
}
