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
	// breakerInterval is how long calls are counted before counting restarts.
	breakerInterval = 10 * time.Second
	// breakerConsecutiveFailures opens the breaker at once.
	breakerConsecutiveFailures = 5
	// breakerMinCalls is how many calls must be counted before the share of
	// failures may open the breaker.
	breakerMinCalls = 10
	// breakerFailureShare is the share of failures that opens the breaker. It
	// lies above one half, so that a platform that fails half of its calls
	// goes on being used.
	breakerFailureShare = 0.8
	// breakerOpenTime is how long no call is made. It is drawn from
	// breakerOpenTime to breakerOpenTime+breakerOpenJitter for each instance,
	// so that the probes of all instances do not arrive together.
	breakerOpenTime   = 5 * time.Second
	breakerOpenJitter = 5 * time.Second
)

// newBreaker returns the breaker and how long it stays open.
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
	return float64(counts.TotalFailures)/float64(counts.Requests) >= breakerFailureShare
}

// isSuccessful counts an answer that blames the request as a working platform.
func isSuccessful(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status < firstServerErrorStatus
	}
	return err == nil
}

// isExcluded leaves out calls that their own caller gave up.
func isExcluded(err error) bool {
	return errors.Is(err, errCallerGaveUp)
}

// refusedByBreaker reports whether no call was made.
func refusedByBreaker(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}
