package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/platformapi"
)

// faultSeed is the fixed seed that makes the choice of failing requests the same
// on every run.
const faultSeed = 1

// faults is the current setting of the fault switches. Server.mu protects it.
type faults struct {
	down          bool
	delay         time.Duration
	dropResponses int
	errorShare    float64
	random        *rand.Rand
	// stale is the snapshot that reads return, or nil for the current records.
	stale map[string]tables.Record
}

func newFaults() faults {
	return faults{random: rand.New(rand.NewPCG(faultSeed, faultSeed))}
}

// SetDown makes the platform abort each connection before it reads the request.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
}

// SetSlow delays each request by d before it takes effect.
func (s *Server) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// DropNextResponses makes the next n requests take effect and then aborts their
// connections without a response.
func (s *Server) DropNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropResponses = n
}

// SetErrorShare makes a share of requests, from 0 to 1, fail with status 503.
// Half of these take effect before they fail.
func (s *Server) SetErrorShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.errorShare = share
}

// SetStaleReads makes reads return the records as of now, without later commits,
// until it is called with false.
func (s *Server) SetStaleReads(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.stale = nil
	if stale {
		s.faults.stale = s.table.snapshot()
	}
}

// SetInstanceLag sets the time after which further changes of the list of
// instances become visible.
func (s *Server) SetInstanceLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.lag = lag
}

// Snapshot is a copy of all records of the table service.
type Snapshot struct {
	records map[string]tables.Record
}

// Snapshot copies all records.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{records: s.table.snapshot()}
}

// Restore replaces all records by those of snapshot, all at one new version.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.restore(snapshot.records)
}

// requestFault holds the faults that apply to one request.
type requestFault struct {
	abort        bool
	delay        time.Duration
	failBefore   bool
	failAfter    bool
	dropResponse bool
	cancelled    <-chan struct{}
}

// drawFault chooses the faults of one request by the settings of the switches.
func (s *Server) drawFault(r *http.Request) requestFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := requestFault{abort: s.faults.down, delay: s.faults.delay, cancelled: r.Context().Done()}
	if fault.abort {
		return fault
	}
	if s.faults.dropResponses > 0 {
		s.faults.dropResponses--
		fault.dropResponse = true
		return fault
	}
	if s.faults.random.Float64() < s.faults.errorShare {
		fault.failBefore = s.faults.random.IntN(2) == 0
		fault.failAfter = !fault.failBefore
	}
	return fault
}

// withFaults wraps a handler so that the faults apply to its requests.
func (s *Server) withFaults(handle func(*http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := s.drawFault(r)
		if fault.abort {
			panic(http.ErrAbortHandler)
		}
		// The HTTP server detects that a client has disconnected only once the
		// body has been read.
		if err := bufferBody(r); err != nil {
			panic(http.ErrAbortHandler)
		}
		if fault.delay > 0 && !waitFor(fault.delay, fault.cancelled) {
			panic(http.ErrAbortHandler)
		}
		if fault.failBefore {
			write(w, r, failed(http.StatusServiceUnavailable, "unavailable"))
			return
		}
		result := handle(r)
		if fault.dropResponse {
			panic(http.ErrAbortHandler)
		}
		if fault.failAfter {
			result = failed(http.StatusServiceUnavailable, "unavailable")
		}
		write(w, r, result)
	}
}

// bufferBody reads the body of a request and replaces it by a buffer.
func bufferBody(r *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, platformapi.MaxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// waitFor waits for delay. It returns false if cancelled is closed first.
func waitFor(delay time.Duration, cancelled <-chan struct{}) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
		return false
	}
}

// write encodes a response with its ETag. For a successful response whose tag is
// in the request's If-None-Match header, it sends status 304 without a body.
func write(w http.ResponseWriter, r *http.Request, result response) {
	encoded, err := json.Marshal(result.body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(encoded), 16))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", tag)
	if result.status == http.StatusOK && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.WriteHeader(result.status)
	_, _ = w.Write(encoded)
}
