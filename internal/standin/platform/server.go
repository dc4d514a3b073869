// Package platform is a small in-memory stand-in for the platform's services:
// the transactional table service, the object store and the list of instances.
// Switches inject the faults that the platform is known to have.
package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/platformapi"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Server is the stand-in. Its zero value is not usable; call NewServer. All
// its methods are safe for concurrent use.
type Server struct {
	// mu protects all fields below.
	mu        sync.Mutex
	table     *recordTable
	objects   map[string][]byte
	instances *instanceList
	faults    faults
	counts    Counts
	saved     Snapshot
}

// Counts holds the number of requests of each kind that reached a service,
// whatever their result and whether or not their response was dropped.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// NewServer returns an empty platform without faults.
func NewServer() *Server {
	return &Server{
		table:     newRecordTable(),
		objects:   make(map[string][]byte),
		instances: newInstanceList(),
		faults:    newFaults(),
	}
}

// Handler serves the platform's services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformapi.PathGet, s.withFaults(s.handleGet))
	mux.HandleFunc("POST "+platformapi.PathScan, s.withFaults(s.handleScan))
	mux.HandleFunc("POST "+platformapi.PathTransact, s.withFaults(s.handleTransact))
	mux.HandleFunc("GET "+platformapi.PathObjects, s.withFaults(s.handleGetObject))
	mux.HandleFunc("PUT "+platformapi.PathObjects, s.withFaults(s.handlePutObject))
	mux.HandleFunc("GET "+platformapi.PathInstances, s.withFaults(s.handleInstances))
	mux.HandleFunc("POST "+platformapi.PathAnnounce, s.withFaults(s.handleAnnounce))
	mux.HandleFunc("POST "+platformapi.PathLeave, s.withFaults(s.handleLeave))
	return mux
}

// Counts returns the numbers of requests so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Put writes a record without conditions, as the platform's own tools do.
func (s *Server) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.execute(tables.Transaction{Writes: []tables.Write{{Key: key, Value: value}}})
}

// Record returns the latest record of key, whatever faults are set.
func (s *Server) Record(key string) tables.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return recordOf(s.table.records, key)
}

// RemoveInstance removes an instance that died without announcing its leave, as
// the platform's own health checks do. The removal becomes visible after the lag.
func (s *Server) RemoveInstance(id state.InstanceID, incarnation state.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.addChange(state.Instance{ID: id, Incarnation: incarnation}, true, time.Now())
}

// response is the result of a handler: a status and a body to encode as JSON.
type response struct {
	status int
	body   any
}

func ok(body any) response {
	return response{status: http.StatusOK, body: body}
}

func failed(status int, message string) response {
	return response{status: status, body: platformapi.ErrorResponse{Message: message}}
}

func (s *Server) handleGet(r *http.Request) response {
	var request platformapi.GetRequest
	if err := decode(r, &request); err != nil {
		return failed(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	records := make([]tables.Record, 0, len(request.Keys))
	for _, key := range request.Keys {
		records = append(records, recordOf(s.readable(), key))
	}
	return ok(platformapi.RecordsResponse{Records: records})
}

func (s *Server) handleScan(r *http.Request) response {
	var request platformapi.ScanRequest
	if err := decode(r, &request); err != nil {
		return failed(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return ok(platformapi.RecordsResponse{Records: scan(s.readable(), request.Prefix)})
}

// readable returns the records that reads return: the stale snapshot if one is
// set, or else the current ones. The caller holds mu.
func (s *Server) readable() map[string]tables.Record {
	if s.faults.stale != nil {
		return s.faults.stale
	}
	return s.table.records
}

func (s *Server) handleTransact(r *http.Request) response {
	var request platformapi.TransactRequest
	if err := decode(r, &request); err != nil {
		return failed(http.StatusBadRequest, err.Error())
	}
	if request.Transaction.ID == "" {
		return failed(http.StatusBadRequest, "a transaction needs an id")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	return ok(platformapi.TransactResponse{Result: s.table.transact(request.Transaction)})
}

func (s *Server) handleGetObject(r *http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	object, found := s.objects[objectName(r)]
	if !found {
		return failed(http.StatusNotFound, "no such object")
	}
	return ok(json.RawMessage(object))
}

func (s *Server) handlePutObject(r *http.Request) response {
	object, err := io.ReadAll(io.LimitReader(r.Body, platformapi.MaxBodyBytes))
	if err != nil || !json.Valid(object) {
		return failed(http.StatusBadRequest, "objects are JSON documents")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.objects[objectName(r)] = object
	return ok(platformapi.EmptyResponse{})
}

func objectName(r *http.Request) string {
	name := strings.TrimPrefix(r.URL.EscapedPath(), platformapi.PathObjects)
	if unescaped, err := url.PathUnescape(name); err == nil {
		return unescaped
	}
	return name
}

func (s *Server) handleInstances(*http.Request) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return ok(platformapi.InstancesResponse{Instances: s.instances.list(time.Now())})
}

func (s *Server) handleAnnounce(r *http.Request) response {
	var request platformapi.AnnounceRequest
	if err := decode(r, &request); err != nil {
		return failed(http.StatusBadRequest, err.Error())
	}
	s.changeInstance(request.Instance, false)
	return ok(platformapi.EmptyResponse{})
}

func (s *Server) handleLeave(r *http.Request) response {
	var request platformapi.LeaveRequest
	if err := decode(r, &request); err != nil {
		return failed(http.StatusBadRequest, err.Error())
	}
	s.changeInstance(state.Instance{ID: request.ID, Incarnation: request.Incarnation}, true)
	return ok(platformapi.EmptyResponse{})
}

func (s *Server) changeInstance(instance state.Instance, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.instances.addChange(instance, removed, time.Now())
}

func decode(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, platformapi.MaxBodyBytes))
	return decoder.Decode(into)
}

func sortedInstances(instances map[state.InstanceID]state.Instance) []state.Instance {
	list := make([]state.Instance, 0, len(instances))
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		list = append(list, instances[id])
	}
	return list
}
