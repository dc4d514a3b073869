package admission

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// plan is what a Gate knows of one plan. The Gate's mutex protects it.
type plan struct {
	id    state.PlanID
	limit PlanLimit
	// known is set while the limits in force name the plan.
	known bool

	held    int // connections
	running int // slots

	connectionQueue  queue
	transactionQueue queue // statements of open transactions
	statementQueue   queue // statements that begin new work

	// virtualTime is the slot time that the plan used, divided by its weight,
	// on the scale of Gate.virtualTime.
	virtualTime time.Duration

	slotTime average
	// connectionPace is the time between grants while connectionQueue is not
	// empty. backlogSince is the last such grant, or when the queue began.
	connectionPace average
	backlogSince   time.Time
}

func (p *plan) weight() float64 {
	return float64(max(p.limit.Weight, 1))
}

func (p *plan) slotQueue(inTransaction bool) *queue {
	if inTransaction {
		return &p.transactionQueue
	}
	return &p.statementQueue
}

func (p *plan) slotQueueLength() int {
	return p.transactionQueue.length + p.statementQueue.length
}

func (p *plan) waiting() int {
	return p.connectionQueue.length + p.slotQueueLength()
}

// active reports whether the plan uses or wants anything.
func (p *plan) active() bool {
	return p.held > 0 || p.running > 0 || p.waiting() > 0
}

// charge adds slot time to the plan's virtual time.
func (p *plan) charge(used time.Duration) {
	p.virtualTime += time.Duration(float64(used) / p.weight())
}

// firstSlotWaiter returns the waiter that is next among the plan's own.
func (p *plan) firstSlotWaiter() *waiter {
	if p.transactionQueue.head != nil {
		return p.transactionQueue.head
	}
	return p.statementQueue.head
}

// slotRank orders plans for the next slot, lowest first. Open transactions go
// ahead of new work by a bounded lead, for they hold connections and locks.
func (p *plan) slotRank() time.Duration {
	if p.transactionQueue.head != nil {
		return p.virtualTime - transactionLead
	}
	return p.virtualTime
}
