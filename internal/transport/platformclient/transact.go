package platformclient

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/platformapi"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Transact executes a transaction. A lost answer is learnt by repeating the
// transaction under its id, which the platform executes once. An error with
// OutcomeNotRun means that no attempt reached the platform. An error with
// OutcomeUnknown means that an attempt may have, and that its result could not
// be learnt within the resolve timeout or before the breaker opened.
func (c *Client) Transact(ctx context.Context, transaction tables.Transaction) (tables.Result, error) {
	request, err := newPost("platform transact", platformapi.PathTransact,
		platformapi.TransactRequest{Transaction: transaction})
	if err != nil {
		return tables.Result{}, err
	}
	body, err := c.attempt(ctx, request, c.writes)
	if mayHaveRun(err) {
		body, err = c.resolve(ctx, request, err)
	}
	if err != nil {
		return tables.Result{}, err
	}
	var response platformapi.TransactResponse
	if err := c.decode(request, body, &response); err != nil {
		return tables.Result{}, err
	}
	return response.Result, nil
}

// resolve repeats a transaction that may have run, until an answer arrives.
func (c *Client) resolve(ctx context.Context, request call, first error) ([]byte, error) {
	metrics.GetOrCreateCounter(`cyclamenpin_platform_lost_answers_total`).Inc()
	last := first
	operation := func() ([]byte, error) {
		body, err := c.attempt(ctx, request, c.writes)
		if isRefusal(err) {
			last = err
			return nil, backoff.Permanent(err)
		}
		if err != nil {
			last = err
		}
		return body, err
	}
	body, err := backoff.Retry(ctx, operation,
		backoff.WithBackOff(c.retryWaits()), backoff.WithMaxElapsedTime(c.options.ResolveTimeout))
	if err == nil {
		return body, nil
	}
	failure := state.Unknown(state.ReasonPlatform, request.step, c.peer, last)
	failure.RetryAfter = c.openTime
	return nil, failure
}

// mayHaveRun reports whether a failed attempt may have taken effect.
func mayHaveRun(err error) bool {
	failure, ok := state.AsFailure(err)
	return ok && failure.Outcome == state.OutcomeUnknown
}

// isRefusal reports whether a repeat at once would be pointless: the breaker
// or the budget forbade the call, or the platform found it malformed.
func isRefusal(err error) bool {
	failure, ok := state.AsFailure(err)
	if !ok || failure.Outcome != state.OutcomeNotRun {
		return false
	}
	var status *StatusError
	return failure.Cause == nil || refusedByBreaker(err) || errors.As(err, &status)
}
