// Package platformapi defines the messages of the platform's services as we
// assume them, carried as JSON over HTTP: the transactional table service, the
// object store and the list of instances.
//
// A status of 200 carries the answer, with its tag in the header ETag where the
// platform gives one. A read that carries the tag of an earlier answer in
// If-None-Match may be answered by 304, which says that the answer would be the
// same. Any other status carries an
// ErrorResponse, and leaves open whether a transaction took effect.
package platformapi

import (
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Paths of the services. All take POST, but for objects and the list of
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

// MaxBodyBytes bounds each request and each answer.
const MaxBodyBytes = 16 << 20

// GetRequest asks for the records of keys.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for all records whose key starts with Prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RecordsResponse answers GetRequest in the order of its keys, and ScanRequest
// sorted by key.
type RecordsResponse struct {
	Records []tables.Record `json:"records"`
}

// TransactRequest executes a transaction. TransactResponse answers it, also
// where a condition did not hold.
type TransactRequest struct {
	Transaction tables.Transaction `json:"transaction"`
}

// TransactResponse answers TransactRequest.
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

// LeaveRequest removes one run of an instance from the list. A later
// incarnation of the same instance stays.
type LeaveRequest struct {
	ID          state.InstanceID  `json:"id"`
	Incarnation state.Incarnation `json:"incarnation"`
}

// EmptyResponse answers requests that return nothing.
type EmptyResponse struct{}

// ErrorResponse is the body of an answer whose status is not 200.
type ErrorResponse struct {
	Message string `json:"message"`
}
