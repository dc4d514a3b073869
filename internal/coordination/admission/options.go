package admission

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	defaultQueuePerPlan = 256
	defaultQueueTotal   = 1024

	// initialSlotTime is the expected time of a statement before one is seen.
	initialSlotTime = 5 * time.Millisecond

	// transactionLead is the slot time by which a plan's open transactions
	// may run ahead of other plans' new work.
	transactionLead = 100 * time.Millisecond

	// reserveDivisor gives the share of connections that plans beyond their
	// guarantee leave free: one in four.
	reserveDivisor = 4

	// crowdedMargin is the margin of a plan with its share of the waiters.
	crowdedMargin = 2

	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// PlanLimit is what a plan may use of one backend server.
type PlanLimit struct {
	// MaxConnections bounds the connections that the plan holds at once.
	MaxConnections int
	// Weight is the plan's share under contention; below 1 means 1.
	Weight int
}

// Options describe a Gate. Zero fields take defaults where one is named.
type Options struct {
	// Server is the backend server; failures name it as their peer.
	Server state.DatabaseID
	// Connections is how many backend connections the owner may hold.
	Connections int
	// Slots is how many statements the backend server runs at once.
	Slots int
	// QueuePerPlan and QueueTotal bound the waiting requests; 256 and 1024.
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
