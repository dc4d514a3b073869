// Package platformclient calls the platform's services. Every call has a
// timeout, counts against the instance's budget and passes a circuit breaker.
// A call that the budget or the breaker does not allow fails at once. Errors are
// *state.Failure with state.ReasonPlatform.
package platformclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Client calls the platform for one instance. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	peer    string
	breaker *gobreaker.CircuitBreaker[[]byte]
	// openTime is the time for which the breaker stays open.
	openTime time.Duration
	reads    *rate.Limiter
	writes   *rate.Limiter
	inFlight singleflight.Group
	cache    responseCache
}

// New returns a client. It fails if BaseURL is not a URL with a host.
func New(options Options, logger zerolog.Logger) (*Client, error) {
	options = options.withDefaults()
	base, err := url.Parse(options.BaseURL)
	if err != nil || base.Host == "" {
		return nil, eris.Errorf("platform address %q: want a URL with a host", options.BaseURL)
	}
	breaker, openTime := newBreaker(logger)
	return &Client{
		options:  options,
		http:     &http.Client{Transport: options.Transport},
		peer:     base.Host,
		breaker:  breaker,
		openTime: openTime,
		reads:    rate.NewLimiter(rate.Limit(options.ReadsPerSecond), options.ReadBurst),
		writes:   rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.WriteBurst),
	}, nil
}

// Available reports whether the breaker lets calls through, so that callers can
// reject work that needs the platform before they start it.
func (c *Client) Available() bool {
	return c.breaker.State() != gobreaker.StateOpen
}

// DivideBudget sets this instance's budget to an equal part of the total request
// rate of all instances, but to no more than the options allow.
func (c *Client) DivideBudget(instances int) {
	share := 1 / float64(max(instances, 1))
	c.reads.SetLimit(rate.Limit(min(c.options.ReadsPerSecond, totalReadsPerSecond*share)))
	c.writes.SetLimit(rate.Limit(min(c.options.WritesPerSecond, totalWritesPerSecond*share)))
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Limits of repeated calls.
const (
	readTries           = 3
	maxRetryWaitFactor  = 20
	retryWaitJitter     = 0.5
	retryWaitMultiplier = 2
)

// newBackOff returns the exponential waits between the attempts of a call.
func (c *Client) newBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     c.options.RetryWait,
		RandomizationFactor: retryWaitJitter,
		Multiplier:          retryWaitMultiplier,
		MaxInterval:         maxRetryWaitFactor * c.options.RetryWait,
	}
}

// read makes an idempotent call and decodes its result into response. Identical
// calls in flight are made once for all their callers. If a caller's context
// ends, its wait ends but the shared call continues.
func (c *Client) read(ctx context.Context, request call, response any) error {
	shared := context.WithoutCancel(ctx)
	flight := c.inFlight.DoChan(request.key(), func() (any, error) {
		return c.readWithRetries(shared, request)
	})
	select {
	case <-ctx.Done():
		return c.failureOf(request, ctx.Err())
	case result := <-flight:
		if result.Err != nil {
			return result.Err
		}
		return c.decode(request, result.Val.([]byte), response)
	}
}

func (c *Client) readWithRetries(ctx context.Context, request call) ([]byte, error) {
	operation := func() ([]byte, error) {
		body, err := c.attempt(ctx, request, c.reads)
		if isPermanent(err) {
			return nil, backoff.Permanent(err)
		}
		return body, err
	}
	body, err := backoff.Retry(ctx, operation, backoff.WithBackOff(c.newBackOff()), backoff.WithMaxTries(readTries))
	if err == nil {
		return body, nil
	}
	if _, ok := state.AsFailure(err); !ok {
		err = c.failureOf(request, err)
	}
	return nil, err
}

func (c *Client) decode(request call, body []byte, response any) error {
	if err := json.Unmarshal(body, response); err != nil {
		return c.failureOf(request, eris.Wrap(err, "decode the platform's answer"))
	}
	return nil
}

func refusals(cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_platform_refusals_total{cause="` + cause + `"}`)
}
