package app

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/admission"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// limitsInForce applies the plan limits of the configuration in force to the
// gates of the backend servers. Its mutex is locked before that of a gate.
type limitsInForce struct {
	mu            sync.Mutex
	configuration *state.Configuration
	gates         map[*admission.Gate]state.GroupID
}

func newLimitsInForce() *limitsInForce {
	return &limitsInForce{gates: map[*admission.Gate]state.GroupID{}}
}

// apply sets the limits of a newer configuration on all gates.
func (l *limitsInForce) apply(configuration *state.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configuration = configuration
	for gate, group := range l.gates {
		gate.SetLimits(planLimits(configuration, group))
	}
}

func (l *limitsInForce) addGate(group state.GroupID, gate *admission.Gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates[gate] = group
	gate.SetLimits(planLimits(l.configuration, group))
}

func (l *limitsInForce) removeGate(gate *admission.Gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.gates, gate)
}

// planLimits returns the limits of the plans that may access a group.
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

// gateAdapter adapts an admission.Gate to execution.Gate.
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

// slotAdapter adapts an admission.Slot to execution.Slot.
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
