package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/admin"
)

// maxResponseBytes limits the size of the admin server's responses.
const maxResponseBytes = 64 << 20

// adminClient calls an instance's admin server.
type adminClient struct {
	options *listOptions
}

// do sends a request and decodes the response into result. found is false on
// status 404.
func (c *adminClient) do(ctx context.Context, method, path string, message, result any) (found bool, err error) {
	body, err := json.Marshal(message)
	if err != nil {
		return false, eris.Wrap(err, "encode the request")
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	target := strings.TrimSuffix(c.options.admin, "/") + path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return false, &UsageError{Message: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if c.options.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, eris.Wrap(err, "call the admin server")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return false, eris.Wrap(err, "read the admin server's response")
	}
	return decodeResponse(response.StatusCode, content, result)
}

func decodeResponse(status int, content []byte, result any) (bool, error) {
	switch status {
	case http.StatusOK:
		return true, eris.Wrap(json.Unmarshal(content, result), "decode the admin server's response")
	case http.StatusNotFound:
		return false, nil
	}
	var failure admin.ErrorResponse
	if err := json.Unmarshal(content, &failure); err != nil {
		return false, eris.Errorf("the admin server returned status %d without an error message", status)
	}
	if err := failure.Err(); err != nil {
		return false, err
	}
	return false, &refusedError{message: failure.Message}
}

// refusedError means that the admin server refused a request and changed
// nothing.
type refusedError struct {
	message string
}

// Error returns the server's message.
func (e *refusedError) Error() string {
	return e.message
}

// configuration returns the given revision, or the newest if revision is zero.
func (c *adminClient) configuration(ctx context.Context, revision state.Revision) (*state.Configuration, error) {
	path := admin.PathConfiguration
	if revision != 0 {
		path += "?revision=" + formatRevision(revision)
	}
	var response admin.ConfigurationResponse
	found, err := c.do(ctx, http.MethodGet, path, nil, &response)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, eris.Errorf("revision %d is not in the history", revision)
	}
	return response.Configuration, nil
}

func (c *adminClient) history(ctx context.Context, limit int) ([]*state.Configuration, error) {
	var response admin.HistoryResponse
	_, err := c.do(ctx, http.MethodGet, admin.PathHistory+"?limit="+strconv.Itoa(limit), nil, &response)
	return response.Configurations, err
}

func (c *adminClient) findEdit(ctx context.Context, editID string) (configuration.EditResult, bool, error) {
	var result configuration.EditResult
	found, err := c.do(ctx, http.MethodGet, admin.PathEdits+"/"+url.PathEscape(editID), nil, &result)
	return result, found, err
}

func (c *adminClient) edit(ctx context.Context, edit configuration.Edit) (configuration.EditResult, error) {
	var result configuration.EditResult
	found, err := c.do(ctx, http.MethodPost, admin.PathEdits, edit, &result)
	if err == nil && !found {
		err = eris.New("the admin server does not accept edits")
	}
	return result, err
}

// waitInForce polls until the revision is in force on all instances or the
// timeout passes, and returns the last status received.
func (c *adminClient) waitInForce(ctx context.Context, revision state.Revision) (configuration.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	var last configuration.InForce
	for {
		var status configuration.InForce
		_, err := c.do(ctx, http.MethodGet, admin.PathInForce+"?revision="+formatRevision(revision), nil, &status)
		if err == nil {
			last = status
		}
		if last.Instances > 0 && last.Confirmed == last.Instances {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, err
		case <-time.After(pollInterval):
		}
	}
}

func formatRevision(revision state.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
