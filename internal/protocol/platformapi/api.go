// Package platformapi defines the messages of the platform's services: the
// transactional table service, the object store and the list of instances. They
// are sent as JSON over HTTP. The definitions are the project's assumption of
// the platform's interface.
//
// Status 200 carries the response, with its entity tag in the header ETag if the
// platform provides one. A read with the tag of an earlier response in
// If-None-Match may receive status 304, which means that the response has not
// changed. Any other status carries an ErrorResponse. It does not determine
// whether a transaction took effect.
package platformapi

import (
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Paths of the services. All use POST, except for the objects and the list of
// instances.
const (
	PathGet       = "/v1/table/get"
	PathScan      = "/v1/table/scan"
	PathTransact  = "/v1/table/transact"
	PathObjects   = "/v1/objects/" // GET and PUT, followed by the escaped name
	PathInstances = "/v1/instances"
	PathAnnounce  = "/v1/instances/announce"
	PathLeave     = "/v1/instances/leave"
)

// MaxBodyBytes is the maximum size of a request or response body.
const MaxBodyBytes = 16 << 20

// GetRequest requests the records with the given keys.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest requests all records whose key starts with Prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RecordsResponse is the response to GetRequest, in the order of its keys, and
// to ScanRequest, sorted by key.
type RecordsResponse struct {
	Records []tables.Record `json:"records"`
}

// TransactRequest executes a transaction. The response is a TransactResponse
// even if a condition of the transaction was not met.
type TransactRequest struct {
	Transaction tables.Transaction `json:"transaction"`
}

// TransactResponse is the response to TransactRequest.
type TransactResponse struct {
	Result tables.Result `json:"result"`
}

// InstancesResponse is the platform's list of live and leaving instances. It
// lags behind the instances' own announcements.
type InstancesResponse struct {
	Instances []state.Instance `json:"instances"`
}

// AnnounceRequest adds an instance to the list, or replaces its entry.
type AnnounceRequest struct {
	Instance state.Instance `json:"instance"`
}

// LeaveRequest removes one incarnation of an instance from the list. A later
// incarnation of the same instance remains.
type LeaveRequest struct {
	ID          state.InstanceID  `json:"id"`
	Incarnation state.Incarnation `json:"incarnation"`
}

// EmptyResponse is the response to requests that return no data.
type EmptyResponse struct{}

// ErrorResponse is the body of a response whose status is neither 200 nor 304.
type ErrorResponse struct {
	Message string `json:"message"`
}
