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

// firstServerErrorStatus is the lowest HTTP status that blames the platform
// rather than the request.
const firstServerErrorStatus = http.StatusInternalServerError

// errCallerGaveUp marks the failure of a call whose own caller's context ended
// before the call's timeout.
var errCallerGaveUp = errors.New("the caller gave up")

// StatusError is an answer whose status is not 200.
type StatusError struct {
	Status  int
	Message string
}

// Error gives the status and the platform's message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// call is one request to the platform.
type call struct {
	step   string
	method string
	path   string
	body   []byte
	// polled marks a read that is repeated, whose last answer is held.
	polled bool
}

// key tells requests for different things apart.
func (c call) key() string {
	return c.method + " " + c.path + "\n" + string(c.body)
}

// newPost makes a call that carries a message.
func newPost(step, path string, message any) (call, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return call{}, eris.Wrapf(err, "encode %s", step)
	}
	return call{step: step, method: http.MethodPost, path: path, body: body}, nil
}

// attempt makes a call once, if budget and breaker allow. An error with
// OutcomeNotRun means that the platform did not receive it.
func (c *Client) attempt(ctx context.Context, request call, budget *rate.Limiter) ([]byte, error) {
	if failure := c.spend(request, budget); failure != nil {
		return nil, failure
	}
	body, err := c.breaker.Execute(func() ([]byte, error) {
		callContext, cancel := context.WithTimeout(ctx, c.options.Timeout)
		defer cancel()
		body, err := c.send(callContext, request)
		if err != nil && ctx.Err() != nil {
			err = errors.Join(errCallerGaveUp, err)
		}
		return body, err
	})
	if err == nil {
		return body, nil
	}
	return nil, c.failureOf(request, err)
}

// spend takes one call from the budget, or returns the refusal.
func (c *Client) spend(request call, budget *rate.Limiter) error {
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

func (c *Client) failureOf(request call, err error) error {
	if refusedByBreaker(err) {
		refusals("breaker").Inc()
		failure := state.NotRun(state.ReasonPlatform, request.step, c.peer, c.openTime, err)
		failure.Message = "the platform did not answer lately"
		return failure
	}
	if neverSent(err) {
		return state.NotRun(state.ReasonPlatform, request.step, c.peer, c.options.Timeout, err)
	}
	failure := state.Unknown(state.ReasonPlatform, request.step, c.peer, err)
	failure.RetryAfter = c.options.Timeout
	return failure
}

// neverSent reports whether the platform cannot have received the request, or
// refused it as malformed.
func neverSent(err error) bool {
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
	// The transport must not repeat requests by itself: it would neither
	// spend budget nor be seen by the breaker.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	c.polled.ask(request, httpRequest.Header)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, eris.Wrap(err, "call the platform")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, platformapi.MaxBodyBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read the platform's answer")
	}
	return c.answer(request, response, body)
}

func statusError(status int, body []byte) error {
	var answer platformapi.ErrorResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		answer.Message = "no message"
	}
	return &StatusError{Status: status, Message: answer.Message}
}
