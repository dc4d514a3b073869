package properties

import (
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// ack is a write that was acknowledged to its client.
type ack struct {
	value int
	at    time.Time
}

// history records the replies that clients received and the violations found.
// The testCluster's lock guards its fields.
type history struct {
	cluster    *testCluster
	violations []string
	lastValue  int
	lastRead   int
	acks       []ack
	notRun     map[int]string // failure by value, of the writes reported as not run
	// transactions lists the values of each acknowledged transaction or write.
	transactions [][]int
	// receivedAt is when an owner received the row of a read, by the read's
	// number.
	receivedAt   map[string]time.Time
	reads        int
	boundedReads int
	failures     map[state.Reason]int
}

func (h *history) recordViolation(format string, args ...any) {
	if len(h.violations) < 10000 {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

func (tc *testCluster) newValue() int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.history.lastValue++
	return tc.history.lastValue
}

func (tc *testCluster) recordAcknowledged(values ...int) {
	tc.withLock(func() {
		for _, value := range values {
			tc.history.acks = append(tc.history.acks, ack{value: value, at: time.Now()})
		}
		tc.history.transactions = append(tc.history.transactions, values)
	})
}

func (tc *testCluster) recordNotRun(failure string, values ...int) {
	tc.withLock(func() {
		for _, value := range values {
			tc.history.notRun[value] = failure
		}
	})
}

// requireSeen checks that a read saw every write that was acknowledged to any
// client before the given time.
func (tc *testCluster) requireSeen(description string, seen []int, before time.Time) {
	tc.withLock(func() {
		for _, a := range tc.history.acks {
			if a.at.Before(before) && !slices.Contains(seen, a.value) {
				tc.history.recordViolation("%s misses write %d, acknowledged %s before what it must see", description, a.value, before.Sub(a.at))
			}
		}
	})
}

// checkFinal compares the replies that clients received with the last primary's
// log. No database's log may contain a write that was reported as not run.
func (tc *testCluster) checkFinal() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	h := &tc.history
	primary := tc.databases[tc.primaryName()]
	counts := map[int]int{}
	requests := map[string]int{}
	for _, e := range primary.log {
		for _, value := range e.values {
			counts[value]++
		}
		if e.request != "" {
			requests[e.request]++
		}
	}
	for _, a := range h.acks {
		if counts[a.value] != 1 {
			h.recordViolation("acknowledged write %d is %d times in the log of %s", a.value, counts[a.value], primary.id)
		}
	}
	for value, count := range counts {
		if count > 1 {
			h.recordViolation("write %d ran %d times", value, count)
		}
	}
	for _, d := range tc.databases {
		for _, value := range d.values() {
			if failure, reported := h.notRun[value]; reported {
				h.recordViolation("write %d was reported as not run (%s) and is in the log of %s", value, failure, d.id)
			}
		}
	}
	for request, count := range requests {
		if count > 1 {
			h.recordViolation("request %s ran %d times", request, count)
		}
	}
	tc.checkTransactions(primary)
}

// checkTransactions requires each acknowledged transaction to be a single entry
// of the log.
func (tc *testCluster) checkTransactions(primary *memDatabase) {
	for _, values := range tc.history.transactions {
		found := slices.ContainsFunc(primary.log, func(e entry) bool { return slices.Equal(e.values, values) })
		if !found {
			tc.history.recordViolation("transaction %v is not whole in the log", values)
		}
	}
}
