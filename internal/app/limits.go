package app

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/admission"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// limitsInForce puts the plans' limits of the configuration in force into the
// gates of the backend servers. Its mutex is taken before that of a gate.
type limitsInForce struct {
	mu            sync.Mutex
	configuration *state.Configuration
	gates         map[*admission.Gate]state.GroupID
}

func newLimitsInForce() *limitsInForce {
	return &limitsInForce{gates: map[*admission.Gate]state.GroupID{}}
}

// enforce takes a newer configuration.
func (l *limitsInForce) enforce(configuration *state.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configuration = configuration
	for gate, group := range l.gates {
		gate.SetLimits(planLimits(configuration, group))
	}
}

func (l *limitsInForce) attach(group state.GroupID, gate *admission.Gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates[gate] = group
	gate.SetLimits(planLimits(l.configuration, group))
}

func (l *limitsInForce) detach(gate *admission.Gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.gates, gate)
}

// planLimits lists the plans that may reach a group.
func planLimits(configuration *state.Configuration, group state.GroupID) map[state.PlanID]admission.PlanLimit {
	limits := map[state.PlanID]admission.PlanLimit{}
	if configuration == nil {
		return limits
	}
	for _, limit := range configuration.Limits {
		if limit.Allows(group) {
			limits[limit.Plan] = admission.PlanLimit{MaxConnections: limit.MaxConnections, Weight: limit.Weight}
		}
	}
	return limits
}

// gateAdapter narrows an admission gate to what the owner needs.
type gateAdapter struct {
	gate *admission.Gate
}

// AcquireConnection implements execution.Gate.
func (a gateAdapter) AcquireConnection(ctx context.Context, plan state.PlanID, timeout time.Duration) (execution.Lease, error) {
	lease, err := a.gate.AcquireConnection(ctx, plan, timeout)
	if err != nil {
		return nil, err
	}
	return lease, nil
}

// AcquireSlot implements execution.Gate.
func (a gateAdapter) AcquireSlot(ctx context.Context, plan state.PlanID, inTransaction bool, timeout time.Duration) (execution.Slot, error) {
	slot, err := a.gate.AcquireSlot(ctx, plan, inTransaction, timeout)
	if err != nil {
		return nil, err
	}
	return slotAdapter{slot: slot}, nil
}

// slotAdapter narrows an admission slot to what the owner needs.
type slotAdapter struct {
	slot *admission.Slot
}

// Release implements execution.Slot.
func (a slotAdapter) Release(completed bool) {
	if completed {
		a.slot.Release(admission.SlotCompleted)
		return
	}
	a.slot.Release(admission.SlotAborted)
}
