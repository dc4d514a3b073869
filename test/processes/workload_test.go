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

// writePause paces each writer, so that the load is bounded.
const writePause = 5 * time.Millisecond

// operation is a write and what became of it.
type operation struct {
	outcome outcome
	rows    int // rows that it leaves if it ran
}

// history is what the clients were told. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex // protects all below
	operations map[string]operation
	attempts   map[string]int // answers and other events, by kind and SQLSTATE
	violations []string
	unknowns   []string // texts of the first unknown outcomes, for the log
}

// keptUnknowns is how many texts of unknown outcomes are kept.
const keptUnknowns = 20

func newHistory() *history {
	return &history{operations: map[string]operation{}, attempts: map[string]int{}}
}

// record notes the final outcome of a write.
func (h *history) record(id string, o outcome, rows int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations[id] = operation{outcome: o, rows: rows}
	if o != done && o != notRun && o != unknown {
		h.violations = append(h.violations, fmt.Sprintf("%s: %s", id, o))
	}
}

// attempt counts an answer.
func (h *history) attempt(a answer) {
	h.count(string(a.outcome) + " " + a.code)
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.outcome == unknown && len(h.unknowns) < keptUnknowns {
		h.unknowns = append(h.unknowns, fmt.Sprintf("%s %v", time.Now().Format(time.TimeOnly), describe(a.err)))
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

// check reads all rows through a fresh session and compares them with what the
// clients were told.
func (h *history) check(t *testing.T, c *cluster) {
	t.Helper()
	rows := c.readAll(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Logf("%d writes; answers: %v", len(h.operations), h.attempts)
	t.Logf("unknown outcomes:\n%s", strings.Join(h.unknowns, "\n"))
	for id, operation := range h.operations {
		seen := rows[id]
		delete(rows, id)
		switch {
		case operation.outcome == done && seen != operation.rows:
			h.violations = append(h.violations, fmt.Sprintf("%s was acknowledged; %d rows of %d", id, seen, operation.rows))
		case operation.outcome == notRun && seen != 0:
			h.violations = append(h.violations, fmt.Sprintf("%s was not run; %d rows", id, seen))
		case seen != 0 && seen != operation.rows:
			h.violations = append(h.violations, fmt.Sprintf("%s is half there: %d rows of %d", id, seen, operation.rows))
		}
	}
	for id, seen := range rows {
		h.violations = append(h.violations, fmt.Sprintf("%s was never written; %d rows", id, seen))
	}
	require.Empty(t, h.violations)
}

// readAll returns the number of rows of each id, through a fresh session that
// carries nothing.
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
	}, "a fresh session can't read")
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

// startWorkload starts three kinds of writers: those that repeat marked
// requests until each is acknowledged, those that write once, and those that
// write in transactions.
func startWorkload(c *cluster, eachKind int) *workload {
	w := &workload{cluster: c, history: newHistory()}
	for number := range eachKind {
		w.running.Go(func() { newWriter(w, "marked", number).run((*writer).writeMarked) })
		w.running.Go(func() { newWriter(w, "plain", number).run((*writer).writePlain) })
		w.running.Go(func() { newWriter(w, "transaction", number).run((*writer).writeTransaction) })
	}
	return w
}

// awaitAcknowledged waits until more writes have been acknowledged.
func (w *workload) awaitAcknowledged(t *testing.T, more int64, bound time.Duration) {
	t.Helper()
	want := w.acknowledged.Load() + more
	eventually(t, bound, func() bool { return w.acknowledged.Load() >= want }, "%d more writes", more)
}

// stop ends the writers and checks all that they were told.
func (w *workload) stop(t *testing.T) {
	t.Helper()
	w.stopping.Store(true)
	w.running.Wait()
	w.history.check(t, w.cluster)
}

// writer writes in one session after another. Each has its own rows, and after
// each write reads in the same session that all its acknowledged ones are
// there.
type writer struct {
	*workload
	name    string
	next    int // number of the next write
	place   int // number of the next instance
	rows    int // rows of acknowledged writes
	maybe   int // rows of writes of unknown outcome
	session *session
	token   string // the last one reported
}

func newWriter(w *workload, kind string, number int) *writer {
	return &writer{workload: w, name: fmt.Sprintf("%s-%d", kind, number), place: number}
}

func (w *writer) run(write func(*writer, string)) {
	for !w.stopping.Load() {
		id := fmt.Sprintf("%s-%d", w.name, w.next)
		w.next++
		write(w, id)
		w.readBack()
		time.Sleep(writePause)
	}
	if w.session != nil {
		w.session.close()
	}
}

// connected makes sure of a session, on the next instance where the old one
// ended. Every second new session carries the token, the others nothing.
func (w *writer) connected() bool {
	if w.session != nil && !w.session.closed() {
		return true
	}
	live := w.cluster.live()
	w.place++
	token := w.token
	if w.place%2 == 0 {
		token = ""
	}
	var err error
	w.session, err = connect(live[w.place%len(live)], token)
	if err != nil {
		w.history.count("connect failed")
		w.session = nil
		time.Sleep(pollInterval)
		return false
	}
	return true
}

// attempt runs one statement and keeps the token.
func (w *writer) attempt(sql string) answer {
	a, _ := w.session.exec(sql)
	w.history.attempt(a)
	if token := w.session.token(); token != "" {
		w.token = token
	}
	if a.outcome == notRun {
		time.Sleep(max(a.retryAfter, pollInterval))
	}
	return a
}

// writeMarked repeats a request with a request id until it is acknowledged,
// after an unknown outcome through another instance.
func (w *writer) writeMarked(id string) {
	sql := fmt.Sprintf("/* cyclamenpin:request_id=%s */ %s", id, insert(id, w.name))
	o := notRun
	for tries := 0; o != done; tries++ {
		if w.stopping.Load() && tries > 0 {
			w.note(id, unknown, 1)
			return
		}
		if !w.connected() {
			continue
		}
		o = w.attempt(sql).outcome
		if o == unknown {
			w.session.close()
		} else if o != done && o != notRun {
			break
		}
	}
	w.note(id, o, 1)
}

func (w *writer) writePlain(id string) {
	for !w.connected() {
		if w.stopping.Load() {
			return
		}
	}
	w.note(id, w.attempt(insert(id, w.name)).outcome, 1)
}

// writeTransaction writes two rows in one transaction. Without a COMMIT that
// was sent, it did not run.
func (w *writer) writeTransaction(id string) {
	for !w.connected() {
		if w.stopping.Load() {
			return
		}
	}
	for step, sql := range []string{"BEGIN", insert(id, w.name), insert(id, w.name)} {
		if a := w.attempt(sql); a.outcome != done {
			if step > 0 {
				w.history.count("transaction cut " + a.code)
			}
			w.note(id, notRun, 2)
			w.session.exec("ROLLBACK")
			return
		}
	}
	w.note(id, w.attempt("COMMIT").outcome, 2)
}

// note records the final outcome of a write.
func (w *writer) note(id string, o outcome, rows int) {
	w.history.record(id, o, rows)
	switch o {
	case done:
		w.rows += rows
		w.acknowledged.Add(1)
	case unknown:
		w.maybe += rows
	}
}

// readBack reads the writer's rows in its session, which must see all that was
// acknowledged to it and nothing that was not run.
func (w *writer) readBack() {
	if !w.connected() {
		return
	}
	seen, err := w.session.count(w.name, requestBound)
	if err != nil {
		return
	}
	if seen < w.rows || seen > w.rows+w.maybe {
		w.history.violation("%s at %s sees %d rows; %d acknowledged, %d unknown",
			w.name, w.session.at.id, seen, w.rows, w.maybe)
	}
}
