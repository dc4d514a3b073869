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

// faultSeed makes the choice of failing requests the same on every run.
const faultSeed = 1

// faults are the switches' positions. Server.mu protects them.
type faults struct {
	down        bool
	slow        time.Duration
	loseAnswers int
	errorShare  float64
	random      *rand.Rand
	// stale, when not nil, is the snapshot that reads see.
	stale map[string]tables.Record
}

func newFaults() faults {
	return faults{random: rand.New(rand.NewPCG(faultSeed, faultSeed))}
}

// SetDown makes the platform cut each connection before it reads the request.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
}

// SetSlow delays each request by d before it takes effect.
func (s *Server) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow = d
}

// DropNextResponses makes the next n requests take effect and then cuts their
// connections without an answer.
func (s *Server) DropNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
}

// SetErrorShare makes a share of requests, from 0 to 1, fail with status 503.
// Half of these take effect before they fail.
func (s *Server) SetErrorShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.errorShare = share
}

// SetStaleReads makes reads see the records as they are now, whatever is
// committed later, until it is called with false.
func (s *Server) SetStaleReads(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.stale = nil
	if stale {
		s.faults.stale = s.table.snapshot()
	}
}

// SetInstanceLag sets how long later changes of the list of instances stay
// unseen.
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

// Restore replaces all records by those of snapshot, each at a new version.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.restore(snapshot.records)
}

// verdict is what the faults do to one request.
type verdict struct {
	cutBefore   bool
	delay       time.Duration
	failBefore  bool
	failAfter   bool
	loseAnswer  bool
	requestOver <-chan struct{}
}

// judge decides on one request by the switches' positions.
func (s *Server) judge(r *http.Request) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := verdict{cutBefore: s.faults.down, delay: s.faults.slow, requestOver: r.Context().Done()}
	if v.cutBefore {
		return v
	}
	if s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		v.loseAnswer = true
		return v
	}
	if s.faults.random.Float64() < s.faults.errorShare {
		v.failBefore = s.faults.random.IntN(2) == 0
		v.failAfter = !v.failBefore
	}
	return v
}

// withFaults wraps a handler in the switches.
func (s *Server) withFaults(handle func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := s.judge(r)
		if v.cutBefore {
			panic(http.ErrAbortHandler)
		}
		// The server notices that a caller went away only once the body is read.
		if err := bufferBody(r); err != nil {
			panic(http.ErrAbortHandler)
		}
		if v.delay > 0 && !waitFor(v.delay, v.requestOver) {
			panic(http.ErrAbortHandler)
		}
		if v.failBefore {
			write(w, r, failed(http.StatusServiceUnavailable, "unavailable"))
			return
		}
		result := handle(r)
		if v.loseAnswer {
			panic(http.ErrAbortHandler)
		}
		if v.failAfter {
			result = failed(http.StatusServiceUnavailable, "unavailable")
		}
		write(w, r, result)
	}
}

func bufferBody(r *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, platformapi.MaxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// waitFor reports false where over closed first.
func waitFor(delay time.Duration, over <-chan struct{}) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-over:
		return false
	}
}

// write encodes an answer. Where the request carries the tag of an equal
// answer, only that is said.
func write(w http.ResponseWriter, r *http.Request, result answer) {
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
