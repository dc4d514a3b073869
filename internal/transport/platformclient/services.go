package platformclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/platformapi"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Get returns one record for each key, in the order of keys.
func (c *Client) Get(ctx context.Context, keys ...string) ([]tables.Record, error) {
	request, err := newPost("platform get", platformapi.PathGet, platformapi.GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	var response platformapi.RecordsResponse
	if err := c.read(ctx, request, &response); err != nil {
		return nil, err
	}
	if len(response.Records) != len(keys) {
		return nil, c.failureOf(request, errors.New("the answer has a wrong number of records"))
	}
	return response.Records, nil
}

// Scan returns the records whose key starts with prefix, sorted by key.
func (c *Client) Scan(ctx context.Context, prefix string) ([]tables.Record, error) {
	request, err := newPost("platform scan", platformapi.PathScan, platformapi.ScanRequest{Prefix: prefix})
	if err != nil {
		return nil, err
	}
	request.conditional = true
	var response platformapi.RecordsResponse
	if err := c.read(ctx, request, &response); err != nil {
		return nil, err
	}
	return response.Records, nil
}

// Instances returns the platform's list of live and leaving instances. The list
// may be out of date.
func (c *Client) Instances(ctx context.Context) ([]state.Instance, error) {
	request := call{step: "platform instances", method: http.MethodGet, path: platformapi.PathInstances, conditional: true}
	var response platformapi.InstancesResponse
	if err := c.read(ctx, request, &response); err != nil {
		return nil, err
	}
	return response.Instances, nil
}

// Announce adds an incarnation of an instance to the list. It is idempotent.
func (c *Client) Announce(ctx context.Context, instance state.Instance) error {
	return c.writeOnce(ctx, "platform announce", platformapi.PathAnnounce, platformapi.AnnounceRequest{Instance: instance})
}

// Leave removes an incarnation of an instance from the list. It is idempotent.
func (c *Client) Leave(ctx context.Context, id state.InstanceID, incarnation state.Incarnation) error {
	return c.writeOnce(ctx, "platform leave", platformapi.PathLeave, platformapi.LeaveRequest{ID: id, Incarnation: incarnation})
}

// GetObject returns a JSON document from the object store, and false if it does
// not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	request := call{step: "platform get object", method: http.MethodGet, path: platformapi.PathObjects + url.PathEscape(name)}
	body, err := c.readWithRetries(ctx, request)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, false, nil
	}
	return body, err == nil, err
}

// PutObject writes a JSON document to the object store and replaces an existing
// one.
func (c *Client) PutObject(ctx context.Context, name string, document []byte) error {
	request := call{
		step: "platform put object", method: http.MethodPut,
		path: platformapi.PathObjects + url.PathEscape(name), body: document,
	}
	_, err := c.attempt(ctx, request, c.writes)
	return err
}

func (c *Client) writeOnce(ctx context.Context, step, path string, message any) error {
	request, err := newPost(step, path, message)
	if err != nil {
		return err
	}
	_, err = c.attempt(ctx, request, c.writes)
	return err
}
