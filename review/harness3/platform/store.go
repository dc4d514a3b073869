package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is HistoryS of the settings.
	historyTime = 20 * time.Second
	// callTime is how long a call takes.
	callTime = 4 * time.Millisecond
	// maxRows and maxRowBytes bound one response of rows-get.
	maxRows     = 500
	maxRowBytes = 1_000_000
	// maxHistoryCheck is how often the history is trimmed.
	maxHistoryCheck = 100 * time.Millisecond
)

// storedRow is a row in the form of the store's calls. A change of the history has Removed
// set if it dropped the row.
type storedRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`

	at time.Time
}

type rowName struct{ table, part, key string }

func (r storedRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// rowStore is the platform's store with the calls for rows. Its feed returns each change
// of the last historyTime in order.
type rowStore struct {
	mu      sync.Mutex
	rows    map[rowName]storedRow
	version uint64
	history []storedRow
	// forgotten is the version of the newest change that the history lacks.
	forgotten uint64
	changed   chan struct{}
	started   time.Time
	// onWrite, which may be nil, is called with each row that a machine has written, before
	// the call is answered.
	onWrite func(storedRow)
}

type rowsResult struct {
	Rows      []storedRow `json:"rows"`
	Ver       uint64
	NowMs     float64
	Truncated bool
}

func newRowStore() *rowStore {
	return &rowStore{rows: make(map[rowName]storedRow), changed: make(chan struct{}), started: time.Now()}
}

// write applies writes in one transaction. The lock must be held.
func (s *rowStore) write(puts, deletes []storedRow) {
	s.version++
	for _, row := range puts {
		row.Ver, row.Removed, row.at = s.version, false, time.Now()
		s.rows[row.name()] = row
		s.history = append(s.history, row)
	}
	for _, row := range deletes {
		delete(s.rows, row.name())
		s.history = append(s.history, storedRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.version, Removed: true, at: time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or a database. When it returns, the store has
// acknowledged it.
func (s *rowStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storedRow{{Table: table, Key: key, Value: value}}, nil)
}

// remove removes a row on behalf of a database that has ended.
func (s *rowStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []storedRow{{Table: table, Key: key}})
}

// trim drops the changes that are older than historyTime. The lock must be held.
func (s *rowStore) trim() {
	oldest := time.Now().Add(-historyTime)
	for len(s.history) > 0 && s.history[0].at.Before(oldest) {
		s.forgotten = s.history[0].Ver
		s.history = s.history[1:]
	}
}

// result returns a response with rows. The lock must be held.
func (s *rowStore) result(rows []storedRow) rowsResult {
	if rows == nil {
		rows = []storedRow{}
	}
	return rowsResult{Rows: rows, Ver: s.version, NowMs: float64(time.Since(s.started)) / float64(time.Millisecond)}
}

func (s *rowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callTime)
	switch r.URL.Path {
	case "/cyclamenpin/rows-get":
		s.serveGet(w, r)
	case "/cyclamenpin/rows-feed":
		s.serveFeed(w, r)
	case "/cyclamenpin/rows-tx":
		s.serveTransaction(w, r)
	default:
		http.NotFound(w, r)
	}
}

func respond(w http.ResponseWriter, status int, result rowsResult) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result)
}

func (s *rowStore) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var rows []storedRow
	for name, row := range s.rows {
		within := name.key >= query.Get("From") && (query.Get("To") == "" || name.key < query.Get("To"))
		if name.table == query.Get("Table") && name.part == query.Get("part") && within {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	bytes, count := 0, 0
	for count < len(rows) && count < maxRows && (count == 0 || bytes+len(rows[count].Value) <= maxRowBytes) {
		bytes += len(rows[count].Value)
		count++
	}
	result := s.result(rows[:count])
	result.Truncated = count < len(rows)
	s.mu.Unlock()
	respond(w, http.StatusOK, result)
}

func (s *rowStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		s.trim()
		lost := after < s.forgotten
		var rows []storedRow
		for _, row := range s.history {
			if row.Table == query.Get("Table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		result, changed := s.result(rows), s.changed
		s.mu.Unlock()
		switch {
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0, expired:
			respond(w, http.StatusOK, result)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			expired = true
		case <-changed:
		case <-time.After(maxHistoryCheck):
		}
	}
}

func (s *rowStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var call struct{ ExpectRev, Puts, Deletes []storedRow }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(call.Puts, call.Deletes) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	holds := true
	var present []storedRow
	for _, expected := range call.ExpectRev {
		row, found := s.rows[expected.name()]
		holds = holds && row.Ver == expected.Ver
		if found {
			present = append(present, row)
		}
	}
	if !holds {
		result := s.result(present)
		s.mu.Unlock()
		respond(w, http.StatusPreconditionFailed, result)
		return
	}
	s.write(call.Puts, call.Deletes)
	result, onWrite := s.result(nil), s.onWrite
	s.mu.Unlock()
	for _, row := range call.Puts {
		if onWrite != nil {
			onWrite(row)
		}
	}
	respond(w, http.StatusOK, result)
}
