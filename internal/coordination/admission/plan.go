package admission

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// plan is a Gate's record of one plan. The Gate's mutex protects it.
type plan struct {
	id    state.PlanID
	limit PlanLimit
	// hasLimit is set while the limits in force include the plan.
	hasLimit bool

	held    int // connections
	running int // slots

	connectionQueue  queue
	transactionQueue queue // statements of open transactions
	statementQueue   queue // statements that begin new work

	// virtualTime is the slot time that the plan has used, divided by its
	// weight. It is raised to Gate.virtualTime when the plan begins to wait.
	virtualTime time.Duration

	slotTime average
	// connectionInterval is the average time between grants from
	// connectionQueue while it is not empty. lastProgress is the time of the
	// last such grant, or when the queue last became non-empty.
	connectionInterval average
	lastProgress       time.Time
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

// active reports whether the plan holds or waits for a connection or slot.
func (p *plan) active() bool {
	return p.held > 0 || p.running > 0 || p.waiting() > 0
}

// charge adds slot time to the plan's virtual time.
func (p *plan) charge(used time.Duration) {
	p.virtualTime += time.Duration(float64(used) / p.weight())
}

// firstSlotWaiter returns the plan's waiter that is next to get a slot.
func (p *plan) firstSlotWaiter() *waiter {
	if p.transactionQueue.head != nil {
		return p.transactionQueue.head
	}
	return p.statementQueue.head
}

// slotRank is the order of plans for the next slot, lowest first. Open
// transactions get a bounded lead over new work, because they hold connections
// and locks.
func (p *plan) slotRank() time.Duration {
	if p.transactionQueue.head != nil {
		return p.virtualTime - transactionLead
	}
	return p.virtualTime
}
