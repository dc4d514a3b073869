package processes

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writePause is the pause of a writer between writes. It limits the load.
const writePause = 5 * time.Millisecond

// operation is the outcome of a write and the number of rows it should leave.
type operation struct {
	outcome outcome
	rows    int // number of rows in the table if the write ran
}

// history records the outcomes that the clients received. It is safe for
// concurrent use.
type history struct {
	mu           sync.Mutex // protects all below
	operations   map[string]operation
	attempts     map[string]int // number of replies and other events, by kind and SQLSTATE
	violations   []string
	unknownTexts []string // texts of the first unknown outcomes, for the log
}

// maxUnknownTexts is how many error texts of unknown outcomes are kept.
const maxUnknownTexts = 20

func newHistory() *history {
	return &history{operations: map[string]operation{}, attempts: map[string]int{}}
}

// record records the final outcome of a write. An outcome other than done,
// notRun or unknown is a violation.
func (h *history) record(id string, o outcome, rows int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations[id] = operation{outcome: o, rows: rows}
	if o != done && o != notRun && o != unknown {
		h.violations = append(h.violations, fmt.Sprintf("%s: %s", id, o))
	}
}

// attempt counts a reply by outcome and SQLSTATE.
func (h *history) attempt(r reply) {
	h.count(string(r.outcome) + " " + r.code)
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.outcome == unknown && len(h.unknownTexts) < maxUnknownTexts {
		h.unknownTexts = append(h.unknownTexts, fmt.Sprintf("%s %v", time.Now().Format(time.TimeOnly), describe(r.err)))
	}
}

func (h *history) count(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts[kind]++
}

func (h *history) violation(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, arguments...))
}

// check reads all rows through a new session and compares them with the recorded
// outcomes.
func (h *history) check(t *testing.T, c *cluster) {
	t.Helper()
	rows := c.readAll(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Logf("%d writes; replies: %v", len(h.operations), h.attempts)
	t.Logf("unknown outcomes:\n%s", strings.Join(h.unknownTexts, "\n"))
	for id, operation := range h.operations {
		seen := rows[id]
		delete(rows, id)
		switch {
		case operation.outcome == done && seen != operation.rows:
			h.violations = append(h.violations, fmt.Sprintf("%s was acknowledged; %d rows of %d", id, seen, operation.rows))
		case operation.outcome == notRun && seen != 0:
			h.violations = append(h.violations, fmt.Sprintf("%s was not run; %d rows", id, seen))
		case seen != 0 && seen != operation.rows:
			h.violations = append(h.violations, fmt.Sprintf("%s has the wrong number of rows: %d of %d", id, seen, operation.rows))
		}
	}
	for id, seen := range rows {
		h.violations = append(h.violations, fmt.Sprintf("%s was never written; %d rows", id, seen))
	}
	require.Empty(t, h.violations)
}

// readAll returns the number of rows of each id, read through a new session
// without a session token.
func (c *cluster) readAll(t *testing.T) map[string]int {
	t.Helper()
	rows := map[string]int{}
	eventually(t, primaryBound, func() bool {
		s, err := connect(c.live()[0], "")
		if err != nil {
			return false
		}
		defer s.close()
		ctx, cancel := context.WithTimeout(t.Context(), requestBound)
		defer cancel()
		results, err := s.conn.Exec(ctx, "SELECT id, count(*) FROM ops GROUP BY id").ReadAll()
		if err != nil {
			return false
		}
		for _, row := range results[0].Rows {
			rows[string(row[0])], err = strconv.Atoi(string(row[1]))
			require.NoError(t, err)
		}
		return true
	}, "a new session can't read")
	return rows
}

// workload is a set of writers that run until stop.
type workload struct {
	cluster      *cluster
	history      *history
	stopping     atomic.Bool
	acknowledged atomic.Int64
	running      sync.WaitGroup
}

// startWorkload starts perKind writers of each of three kinds: those that repeat
// a request with a request id until it is acknowledged, those that send each
// write once, and those that write in transactions.
func startWorkload(c *cluster, perKind int) *workload {
	w := &workload{cluster: c, history: newHistory()}
	for number := range perKind {
		w.running.Go(func() { newWriter(w, "marked", number).run((*writer).writeWithRequestID) })
		w.running.Go(func() { newWriter(w, "plain", number).run((*writer).writePlain) })
		w.running.Go(func() { newWriter(w, "transaction", number).run((*writer).writeTransaction) })
	}
	return w
}

// awaitAcknowledged waits until the given number of further writes has been
// acknowledged.
func (w *workload) awaitAcknowledged(t *testing.T, more int64, bound time.Duration) {
	t.Helper()
	want := w.acknowledged.Load() + more
	eventually(t, bound, func() bool { return w.acknowledged.Load() >= want }, "%d more writes were not acknowledged", more)
}

// stop ends the writers and checks the recorded outcomes against the rows.
func (w *workload) stop(t *testing.T) {
	t.Helper()
	w.stopping.Store(true)
	w.running.Wait()
	w.history.check(t, w.cluster)
}

// writer writes through a sequence of sessions. Each writer has its own rows.
// After each write it reads them in the same session and checks that all
// acknowledged rows are visible.
type writer struct {
	*workload
	name             string
	nextWrite        int // number of the next write
	nextInstance     int // number of the next instance
	acknowledgedRows int // rows of acknowledged writes
	unknownRows      int // rows of writes of unknown outcome
	session          *session
	token            string // the last session token reported to the writer
}

func newWriter(w *workload, kind string, number int) *writer {
	return &writer{workload: w, name: fmt.Sprintf("%s-%d", kind, number), nextInstance: number}
}

func (w *writer) run(write func(*writer, string)) {
	for !w.stopping.Load() {
		id := fmt.Sprintf("%s-%d", w.name, w.nextWrite)
		w.nextWrite++
		write(w, id)
		w.readBack()
		time.Sleep(writePause)
	}
	if w.session != nil {
		w.session.close()
	}
}

// ensureSession opens a session on the next instance if the last one has ended,
// and returns whether there is a session. Every second new session starts with
// the last token, the others start without one.
func (w *writer) ensureSession() bool {
	if w.session != nil && !w.session.closed() {
		return true
	}
	live := w.cluster.live()
	w.nextInstance++
	token := w.token
	if w.nextInstance%2 == 0 {
		token = ""
	}
	var err error
	w.session, err = connect(live[w.nextInstance%len(live)], token)
	if err != nil {
		w.history.count("connect failed")
		w.session = nil
		time.Sleep(pollInterval)
		return false
	}
	return true
}

// attempt runs one statement, records its reply and keeps the session token. It
// waits before it returns if the statement was not run.
func (w *writer) attempt(sql string) reply {
	r, _ := w.session.exec(sql)
	w.history.attempt(r)
	if token := w.session.token(); token != "" {
		w.token = token
	}
	if r.outcome == notRun {
		time.Sleep(max(r.retryAfter, pollInterval))
	}
	return r
}

// writeWithRequestID repeats a request with a request id until it is
// acknowledged. After an unknown outcome it continues on another instance.
func (w *writer) writeWithRequestID(id string) {
	sql := fmt.Sprintf("/* cyclamenpin:request_id=%s */ %s", id, insert(id, w.name))
	o := notRun
	for tries := 0; o != done; tries++ {
		if w.stopping.Load() && tries > 0 {
			w.recordOutcome(id, unknown, 1)
			return
		}
		if !w.ensureSession() {
			continue
		}
		o = w.attempt(sql).outcome
		if o == unknown {
			w.session.close()
		} else if o != done && o != notRun {
			break
		}
	}
	w.recordOutcome(id, o, 1)
}

func (w *writer) writePlain(id string) {
	for !w.ensureSession() {
		if w.stopping.Load() {
			return
		}
	}
	w.recordOutcome(id, w.attempt(insert(id, w.name)).outcome, 1)
}

// writeTransaction writes two rows in one transaction. If it fails before COMMIT
// was sent, its outcome is that it was not run.
func (w *writer) writeTransaction(id string) {
	for !w.ensureSession() {
		if w.stopping.Load() {
			return
		}
	}
	for step, sql := range []string{"BEGIN", insert(id, w.name), insert(id, w.name)} {
		if r := w.attempt(sql); r.outcome != done {
			if step > 0 {
				w.history.count("transaction cut " + r.code)
			}
			w.recordOutcome(id, notRun, 2)
			w.session.exec("ROLLBACK")
			return
		}
	}
	w.recordOutcome(id, w.attempt("COMMIT").outcome, 2)
}

// recordOutcome records the final outcome of a write in the history and in the
// writer's row counts.
func (w *writer) recordOutcome(id string, o outcome, rows int) {
	w.history.record(id, o, rows)
	switch o {
	case done:
		w.acknowledgedRows += rows
		w.acknowledged.Add(1)
	case unknown:
		w.unknownRows += rows
	}
}

// readBack counts the writer's rows in its session. The session must see all
// acknowledged rows and none of a write that was not run.
func (w *writer) readBack() {
	if !w.ensureSession() {
		return
	}
	seen, err := w.session.count(w.name, requestBound)
	if err != nil {
		return
	}
	if seen < w.acknowledgedRows || seen > w.acknowledgedRows+w.unknownRows {
		w.history.violation("%s at %s sees %d rows; %d acknowledged, %d unknown",
			w.name, w.session.instance.id, seen, w.acknowledgedRows, w.unknownRows)
	}
}
