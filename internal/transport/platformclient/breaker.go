package platformclient

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/sony/gobreaker/v2"
)

// Limits of the circuit breaker.
const (
	// breakerInterval is the period after which a closed breaker resets its
	// counts.
	breakerInterval = 10 * time.Second
	// breakerConsecutiveFailures is the number of failures in a row that opens
	// the breaker, whatever the failure ratio.
	breakerConsecutiveFailures = 5
	// breakerMinCalls is the number of calls below which the failure ratio is
	// not evaluated.
	breakerMinCalls = 10
	// breakerFailureRatio is the ratio of failed calls that opens the breaker.
	// It is above one half, so that a platform that fails half of its calls
	// stays in use.
	breakerFailureRatio = 0.8
	// The breaker stays open for a random time between breakerOpenTime and
	// breakerOpenTime+breakerOpenJitter. Each instance draws its own, so that
	// the probes of all instances do not arrive together.
	breakerOpenTime   = 5 * time.Second
	breakerOpenJitter = 5 * time.Second
)

// newBreaker returns a circuit breaker and the time for which it stays open.
func newBreaker(logger zerolog.Logger) (*gobreaker.CircuitBreaker[[]byte], time.Duration) {
	openTime := breakerOpenTime + rand.N(breakerOpenJitter)
	breaker := gobreaker.NewCircuitBreaker[[]byte](gobreaker.Settings{
		Name:         "platform",
		MaxRequests:  1,
		Interval:     breakerInterval,
		Timeout:      openTime,
		ReadyToTrip:  readyToTrip,
		IsSuccessful: isSuccessful,
		IsExcluded:   isExcluded,
		OnStateChange: func(name string, from, to gobreaker.State) {
			metrics.GetOrCreateCounter(`cyclamenpin_platform_breaker_changes_total{to="` + to.String() + `"}`).Inc()
			logger.Warn().Str("breaker", name).Stringer("from", from).Stringer("to", to).Msg("circuit breaker changed")
		},
	})
	return breaker, openTime
}

func readyToTrip(counts gobreaker.Counts) bool {
	if counts.ConsecutiveFailures >= breakerConsecutiveFailures {
		return true
	}
	if counts.Requests < breakerMinCalls {
		return false
	}
	return float64(counts.TotalFailures)/float64(counts.Requests) >= breakerFailureRatio
}

// isSuccessful reports whether a call shows that the platform works. A response
// that rejects the request, with a status below 500, does.
func isSuccessful(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status < firstServerErrorStatus
	}
	return err == nil
}

// isExcluded reports whether the breaker ignores a call, because its caller's
// context ended first.
func isExcluded(err error) bool {
	return errors.Is(err, errCallerCancelled)
}

// refusedByBreaker reports whether the breaker rejected the call, so that
// nothing was sent.
func refusedByBreaker(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}
