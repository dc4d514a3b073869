package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/platformapi"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// firstServerErrorStatus is the lowest HTTP status that means a failure of the
// platform. Lower ones mean that the request was rejected.
const firstServerErrorStatus = http.StatusInternalServerError

// errCallerCancelled marks a call that failed after its caller's context ended.
var errCallerCancelled = errors.New("the caller gave up")

// StatusError is a response whose status is not 200.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the platform's message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// call is one request to the platform.
type call struct {
	step   string
	method string
	path   string
	body   []byte
	// conditional marks a polled read. Its last response is cached and later
	// reads carry If-None-Match.
	conditional bool
}

// key identifies a request by its method, path and body. Requests with the same
// key are interchangeable.
func (c call) key() string {
	return c.method + " " + c.path + "\n" + string(c.body)
}

// newPost returns a POST call with message as its JSON body.
func newPost(step, path string, message any) (call, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return call{}, eris.Wrapf(err, "encode %s", step)
	}
	return call{step: step, method: http.MethodPost, path: path, body: body}, nil
}

// attempt makes a call once, if the budget and the breaker allow it. An error
// with OutcomeNotRun means that the call took no effect: it did not reach the
// platform, or the platform rejected it with a status below 500.
func (c *Client) attempt(ctx context.Context, request call, budget *rate.Limiter) ([]byte, error) {
	if failure := c.takeFromBudget(request, budget); failure != nil {
		return nil, failure
	}
	body, err := c.breaker.Execute(func() ([]byte, error) {
		callContext, cancel := context.WithTimeout(ctx, c.options.Timeout)
		defer cancel()
		body, err := c.send(callContext, request)
		if err != nil && ctx.Err() != nil {
			err = errors.Join(errCallerCancelled, err)
		}
		return body, err
	})
	if err == nil {
		return body, nil
	}
	return nil, c.failureOf(request, err)
}

// takeFromBudget takes one call from the budget. If the budget is spent, it
// returns a failure with the time until the next call is allowed.
func (c *Client) takeFromBudget(request call, budget *rate.Limiter) error {
	if budget.Allow() {
		return nil
	}
	refusals("budget").Inc()
	reservation := budget.Reserve()
	wait := reservation.Delay()
	reservation.Cancel()
	failure := state.NotRun(state.ReasonPlatform, request.step, c.peer, wait, nil)
	failure.Message = "the instance's budget of platform requests is spent"
	return failure
}

// failureOf converts the error of a call into a *state.Failure.
func (c *Client) failureOf(request call, err error) error {
	if refusedByBreaker(err) {
		refusals("breaker").Inc()
		failure := state.NotRun(state.ReasonPlatform, request.step, c.peer, c.openTime, err)
		failure.Message = "the platform did not answer lately"
		return failure
	}
	if hasNotRun(err) {
		return state.NotRun(state.ReasonPlatform, request.step, c.peer, c.options.Timeout, err)
	}
	failure := state.Unknown(state.ReasonPlatform, request.step, c.peer, err)
	failure.RetryAfter = c.options.Timeout
	return failure
}

// hasNotRun reports whether the request cannot have taken effect, because the
// platform did not receive it or rejected it with a status below 500.
func hasNotRun(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status < firstServerErrorStatus
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) send(ctx context.Context, request call) ([]byte, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.options.BaseURL+request.path, bytes.NewReader(request.body))
	if err != nil {
		return nil, eris.Wrap(err, "make the HTTP request")
	}
	// Without GetBody, the transport does not repeat the request on its own.
	// Neither the budget nor the breaker would count such a repeat.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	c.cache.addTag(request, httpRequest.Header)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, eris.Wrap(err, "call the platform")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, platformapi.MaxBodyBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read the platform's answer")
	}
	return c.responseBody(request, response, body)
}

func statusError(status int, body []byte) error {
	var response platformapi.ErrorResponse
	if err := json.Unmarshal(body, &response); err != nil {
		response.Message = "no message"
	}
	return &StatusError{Status: status, Message: response.Message}
}
