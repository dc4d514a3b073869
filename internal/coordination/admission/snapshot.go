package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Snapshot is the state of a Gate for the state dump.
type Snapshot struct {
	Server            state.DatabaseID        `json:"server"`
	Leaving           bool                    `json:"leaving"`
	Connections       int                     `json:"connections"`
	ConnectionsHeld   int                     `json:"connections_held"`
	Slots             int                     `json:"slots"`
	SlotLimit         int                     `json:"slot_limit"`
	SlotsHeld         int                     `json:"slots_held"`
	ConnectionWaiters int                     `json:"connection_waiters"`
	SlotWaiters       int                     `json:"slot_waiters"`
	ExpectedSlotTime  time.Duration           `json:"expected_slot_time_ns"`
	Refused           map[state.Reason]uint64 `json:"refused"`
	// Plans lists the active plans, sorted by id.
	Plans []PlanSnapshot `json:"plans"`
}

// PlanSnapshot is one plan's part of a Snapshot.
type PlanSnapshot struct {
	Plan              state.PlanID  `json:"plan"`
	MaxConnections    int           `json:"max_connections"`
	Weight            int           `json:"weight"`
	Guarantee         int           `json:"guaranteed_connections"`
	ConnectionsHeld   int           `json:"connections_held"`
	SlotsHeld         int           `json:"slots_held"`
	ConnectionWaiters int           `json:"connection_waiters"`
	SlotWaiters       int           `json:"slot_waiters"`
	ExpectedSlotTime  time.Duration `json:"expected_slot_time_ns"`
}

// Snapshot returns a copy of the Gate's state.
func (g *Gate) Snapshot() Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot := Snapshot{
		Server:            g.server,
		Leaving:           g.leaving,
		Connections:       g.connections,
		ConnectionsHeld:   g.held,
		Slots:             g.concurrency.slots,
		SlotLimit:         g.slotLimit,
		SlotsHeld:         len(g.running),
		ConnectionWaiters: g.connectionWaiters,
		SlotWaiters:       g.slotWaiters,
		ExpectedSlotTime:  g.allSlotTime.valueOr(initialSlotTime),
		Refused:           maps.Clone(g.refused),
	}
	for _, p := range g.plans {
		if p.active() {
			snapshot.Plans = append(snapshot.Plans, g.planSnapshot(p))
		}
	}
	slices.SortFunc(snapshot.Plans, func(a, b PlanSnapshot) int { return cmp.Compare(a.Plan, b.Plan) })
	return snapshot
}

func (g *Gate) planSnapshot(p *plan) PlanSnapshot {
	return PlanSnapshot{
		Plan:              p.id,
		MaxConnections:    p.limit.MaxConnections,
		Weight:            int(p.weight()),
		Guarantee:         g.guarantee(p),
		ConnectionsHeld:   p.held,
		SlotsHeld:         p.running,
		ConnectionWaiters: p.connectionQueue.length,
		SlotWaiters:       p.slotQueueLength(),
		ExpectedSlotTime:  g.slotTime(p),
	}
}
