package properties

import (
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// ack is a write whose answer reached its caller.
type ack struct {
	value int
	at    time.Time
}

// history is what callers were told. Its fields are guarded by the world.
type history struct {
	world      *world
	violations []string
	lastValue  int
	lastRead   int
	acks       []ack
	notRun     map[int]string // value and the failure
	// together lists the values of each transaction that was acknowledged.
	together [][]int
	// received is when an owner had the first message of a read's answer.
	received map[string]time.Time
	reads    int
	ages     int
	refused  map[state.Reason]int
}

func (h *history) violate(format string, args ...any) {
	if len(h.violations) < 10000 {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

func (w *world) newValue() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.lastValue++
	return w.history.lastValue
}

func (w *world) acknowledged(values ...int) {
	w.do(func() {
		for _, value := range values {
			w.history.acks = append(w.history.acks, ack{value: value, at: time.Now()})
		}
		w.history.together = append(w.history.together, values)
	})
}

func (w *world) surelyNotRun(why string, values ...int) {
	w.do(func() {
		for _, value := range values {
			w.history.notRun[value] = why
		}
	})
}

// requireSeen checks that a read saw all that was acknowledged before a time,
// to anybody.
func (w *world) requireSeen(what string, seen []int, before time.Time) {
	w.do(func() {
		for _, a := range w.history.acks {
			if a.at.Before(before) && !slices.Contains(seen, a.value) {
				w.history.violate("%s misses write %d, acknowledged %s before what it must see", what, a.value, before.Sub(a.at))
			}
		}
	})
}

// checkFinal compares what callers were told with the last primary's log.
func (w *world) checkFinal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := &w.history
	primary := w.databases[w.primaryName()]
	times := map[int]int{}
	requests := map[string]int{}
	for _, e := range primary.log {
		for _, value := range e.values {
			times[value]++
		}
		if e.request != "" {
			requests[e.request]++
		}
	}
	for _, a := range h.acks {
		if times[a.value] != 1 {
			h.violate("acknowledged write %d is %d times in the log of %s", a.value, times[a.value], primary.id)
		}
	}
	for value, count := range times {
		if count > 1 {
			h.violate("write %d ran %d times", value, count)
		}
	}
	for _, d := range w.databases {
		for _, value := range d.values() {
			if why, refused := h.notRun[value]; refused {
				h.violate("write %d was answered as not run (%s) and is in the log of %s", value, why, d.id)
			}
		}
	}
	for request, count := range requests {
		if count > 1 {
			h.violate("request %s ran %d times", request, count)
		}
	}
	w.checkTransactions(primary)
}

// checkTransactions requires each acknowledged transaction to be one entry.
func (w *world) checkTransactions(primary *memDatabase) {
	for _, values := range w.history.together {
		whole := slices.ContainsFunc(primary.log, func(e entry) bool { return slices.Equal(e.values, values) })
		if !whole {
			w.history.violate("transaction %v is not whole in the log", values)
		}
	}
}
