package admission

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	defaultQueuePerPlan = 256
	defaultQueueTotal   = 1024

	// initialSlotTime is the expected time of a statement before any has
	// completed.
	initialSlotTime = 5 * time.Millisecond

	// transactionLead is the slot time by which statements of a plan's open
	// transactions may run ahead of other plans' new work.
	transactionLead = 100 * time.Millisecond

	// reserveDivisor sets the largest share of connections that plans beyond
	// their guarantee must leave free: one in four.
	reserveDivisor = 4

	// crowdedSafetyFactor is the safetyFactor of a plan that has at least its
	// share of the waiters.
	crowdedSafetyFactor = 2

	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// PlanLimit limits a plan's use of one backend server.
type PlanLimit struct {
	// MaxConnections bounds the connections that the plan holds at once.
	MaxConnections int
	// Weight sets the plan's share under contention relative to other plans; a
	// value below 1 means 1.
	Weight int
}

// Options configure a Gate. The queue lengths have defaults for zero.
type Options struct {
	// Server is the backend server, which failures name as their peer.
	Server state.DatabaseID
	// Connections is how many backend connections the owner may hold.
	Connections int
	// Slots is how many statements the backend server runs at once.
	Slots int
	// QueuePerPlan and QueueTotal bound the number of waiting requests. The
	// defaults are 256 and 1024.
	QueuePerPlan int
	QueueTotal   int
}

func (o Options) withDefaults() Options {
	if o.QueuePerPlan <= 0 {
		o.QueuePerPlan = defaultQueuePerPlan
	}
	if o.QueueTotal <= 0 {
		o.QueueTotal = defaultQueueTotal
	}
	return o
}
