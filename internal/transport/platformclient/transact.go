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

// Transact executes a transaction. If the response is lost, it repeats the
// transaction with the same id, which the platform executes only once. An error
// with OutcomeNotRun means that the transaction took no effect. An error with
// OutcomeUnknown means that an attempt may have reached the platform and that no
// result arrived within the resolve timeout or before the breaker opened.
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

// resolve repeats a transaction that may have run until a response arrives, a
// repeat is pointless or the resolve timeout passes.
func (c *Client) resolve(ctx context.Context, request call, firstErr error) ([]byte, error) {
	metrics.GetOrCreateCounter(`cyclamenpin_platform_lost_answers_total`).Inc()
	lastErr := firstErr
	operation := func() ([]byte, error) {
		body, err := c.attempt(ctx, request, c.writes)
		if isPermanent(err) {
			lastErr = err
			return nil, backoff.Permanent(err)
		}
		if err != nil {
			lastErr = err
		}
		return body, err
	}
	body, err := backoff.Retry(ctx, operation,
		backoff.WithBackOff(c.newBackOff()), backoff.WithMaxElapsedTime(c.options.ResolveTimeout))
	if err == nil {
		return body, nil
	}
	failure := state.Unknown(state.ReasonPlatform, request.step, c.peer, lastErr)
	failure.RetryAfter = c.openTime
	return nil, failure
}

// mayHaveRun reports whether a failed attempt may have taken effect.
func mayHaveRun(err error) bool {
	failure, ok := state.AsFailure(err)
	return ok && failure.Outcome == state.OutcomeUnknown
}

// isPermanent reports whether an immediate repeat would be pointless, because
// the breaker or the budget did not allow the call, or the platform rejected it
// with a status below 500.
func isPermanent(err error) bool {
	failure, ok := state.AsFailure(err)
	if !ok || failure.Outcome != state.OutcomeNotRun {
		return false
	}
	var status *StatusError
	return failure.Cause == nil || refusedByBreaker(err) || errors.As(err, &status)
}
