package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// stock is what this instance holds of one workspace's limit.
type stock struct {
	limit state.RateLimit
	// lots are permits that expire at different times, the first ones first.
	lots []lot
	// back is how many unused permits are to be returned.
	back int
	// asked is how many permits the unanswered messages ask for.
	asked int
	// waiters are the operations that wait for an answer, in the order of arrival.
	waiters []*waiter
	// emptyUntil is when the home's bucket holds another permit by its last answer.
	emptyUntil state.Instant
	// unaided holds the times of operations admitted without a permit in the last
	// Window.
	unaided []state.Instant
	// demand is the decaying average of operations a second, and refusals that of
	// refusals, as of decayedAt.
	demand, refusals float64
	decayedAt        state.Instant
	// admitted, admittedUnaided and refused count operations since the start.
	admitted, admittedUnaided, refused uint64
}

type lot struct {
	count int
	until state.Instant
}

// waiter is an operation that waits for a permit. result is buffered.
type waiter struct {
	result chan bool
	wait   time.Duration
}

// decay brings the averages up to date.
func (s *stock) decay(now state.Instant) {
	factor := math.Exp(-now.Sub(s.decayedAt).Seconds() / demandWindow.Seconds())
	s.demand, s.refusals, s.decayedAt = s.demand*factor, s.refusals*factor, now
}

// takePermit uses a permit that is held.
func (s *stock) takePermit(now state.Instant) bool {
	s.dropExpired(now)
	if len(s.lots) == 0 {
		return false
	}
	if s.lots[0].count--; s.lots[0].count == 0 {
		s.lots = s.lots[1:]
	}
	s.admitted++
	return true
}

func (s *stock) dropExpired(now state.Instant) {
	for len(s.lots) > 0 && s.lots[0].until <= now {
		s.lots = s.lots[1:]
	}
}

// held is the number of permits at hand.
func (s *stock) held() int {
	held := 0
	for _, lot := range s.lots {
		held += lot.count
	}
	return held
}

// giveBack sets those permits aside for return that expire within the given time.
func (s *stock) giveBack(now state.Instant, within time.Duration) {
	s.dropExpired(now)
	for len(s.lots) > 0 && s.lots[0].until <= now.Add(within) {
		s.back += s.lots[0].count
		s.lots = s.lots[1:]
	}
}

// wanted returns how many permits to ask for now: one for each waiting operation and
// what is likely to be needed during a part of the permits' life.
func (s *stock) wanted(now state.Instant, life time.Duration) int {
	if now < s.emptyUntil {
		return 0
	}
	s.decay(now)
	ahead := int(s.demand / demandWindow.Seconds() * life.Seconds() * prefetchShare)
	coming := s.held() + s.asked - len(s.waiters)
	if coming >= 0 && 2*coming >= ahead {
		return 0
	}
	return max(0, ahead-coming)
}

// takeUnaided admits an operation without a permit if fewer than allowed were admitted
// so in the last window.
func (s *stock) takeUnaided(now state.Instant, window time.Duration, allowed int) bool {
	if allowed == 0 {
		return false
	}
	for len(s.unaided) > 0 && s.unaided[0] <= now.Add(-window) {
		s.unaided = s.unaided[1:]
	}
	if len(s.unaided) >= allowed {
		return false
	}
	s.unaided = append(s.unaided, now)
	return true
}

// receive adds granted permits and serves the waiting operations with them.
func (s *stock) receive(granted int, until, now state.Instant) {
	if granted > 0 && until > now {
		s.lots = append(s.lots, lot{count: granted, until: until})
	}
	for len(s.waiters) > 0 && s.takePermit(now) {
		s.answerFirst(true)
	}
}

// answerFirst ends the wait of the operation that waits for longest.
func (s *stock) answerFirst(admitted bool) {
	s.waiters[0].result <- admitted
	s.waiters = s.waiters[1:]
}

// abandon ends the wait of an operation without an answer. It returns the answer if
// there is one all the same.
func (s *stock) abandon(w *waiter) (admitted, answered bool) {
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return false, false
	}
	return <-w.result, true
}
