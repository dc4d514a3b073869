package today

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
)

// Times of the failover measure.
const (
	steadyTime      = time.Second
	platformDownFor = 500 * time.Millisecond // before the fault
	maxGap          = 25 * time.Second
	pauseOfWriters  = 5 * time.Millisecond
	reconnectPause  = 20 * time.Millisecond
	gapInterval     = 20 * time.Millisecond
	failoverLag     = 5 * time.Millisecond
	writeTimeout    = 20 * time.Second
)

// fault is a way in which a primary fails.
type fault struct {
	name         string
	platformDown bool
	inflict      func(*database.Server)
}

func faults(quick bool) []fault {
	kill := func(server *database.Server) { server.Kill() }
	freeze := func(server *database.Server) { server.SetFrozen(true) }
	alone := []fault{{name: "killed", inflict: kill}, {name: "frozen", inflict: freeze}}
	if quick {
		return alone
	}
	return append(alone, []fault{
		{name: "killed, platform down", inflict: kill, platformDown: true},
		{name: "frozen, platform down", inflict: freeze, platformDown: true},
	}...)
}

// Spread is the median and the worst of several samples, in milliseconds.
type Spread struct {
	MedianMS float64 `json:"median_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

func spreadOf(values []time.Duration) Spread {
	return Spread{MedianMS: milliseconds(median(values)), WorstMS: milliseconds(worst(values))}
}

// FailoverResult is the gap after one kind of fault.
type FailoverResult struct {
	Deployment string `json:"deployment"`
	Fault      string `json:"fault"`
	// Faults is how many primaries failed, three at a time, and Changed how
	// many changes were reported.
	Faults  int `json:"faults"`
	Changes int `json:"changed"`
	// Attempts is how many attempts failed before.
	FailedAttempts int `json:"failed_attempts"`
	// ClientGap is the time between two acknowledged writes of a client, four
	// clients for each fault.
	ClientGap Spread `json:"client"`
	// Unrecovered counts clients whose writes did not succeed again in time.
	Unrecovered int `json:"unhealed"`
	// LostRows counts acknowledged rows that were missing afterwards.
	LostRows  int    `json:"acknowledged_rows_lost"`
	Detection Spread `json:"detection"`
	Claim     Spread `json:"claim"`
	Fencing   Spread `json:"fencing"`
	Promotion Spread `json:"promotion"`
	Routing   Spread `json:"routing"`
}

// measureFailover takes the gap after each kind of fault. Each round has a new
// installation, because changes of one group are spaced on purpose.
func measureFailover(ctx context.Context, deployment Deployment, rounds int, quick bool) ([]FailoverResult, error) {
	var results []FailoverResult
	for _, fault := range faults(quick) {
		samples := &failoverSamples{}
		for range rounds {
			if err := samples.round(ctx, deployment, fault); err != nil {
				return nil, err
			}
		}
		result := samples.result()
		result.Deployment, result.Fault = deployment.Name, fault.name
		results = append(results, result)
	}
	return results, nil
}

type failoverSamples struct {
	faults, failed, unhealed, lost int
	clients                        []time.Duration
	changes                        []failover.ChangeReport
}

func (s *failoverSamples) round(ctx context.Context, deployment Deployment, fault fault) error {
	in, err := startInstallation(ctx, installationOptions{
		deployment: deployment, plans: 1, statementTime: readStatement, lag: failoverLag,
	})
	if err != nil {
		return err
	}
	defer in.close()
	writers := startWriters(ctx, in)
	defer writers.stop()
	time.Sleep(steadyTime)
	if fault.platformDown {
		in.platform.SetDown(true)
		time.Sleep(platformDownFor)
	}
	began := time.Now()
	for number := range in.groups {
		fault.inflict(in.primary(number))
	}
	s.unhealed += writers.awaitAll(began)
	s.faults += len(in.groups)
	time.Sleep(steadyTime)
	writers.stop()
	for _, writer := range writers.all {
		s.clients = append(s.clients, writer.gap(began))
		s.lost += writer.missing(ctx)
	}
	s.takeReports(in)
	return nil
}

// takeReports reads the changes from the instances' state dumps.
func (s *failoverSamples) takeReports(in *installation) {
	for _, instance := range in.instances {
		for _, group := range instance.Dump().Groups {
			for _, report := range reportsOf(group.State) {
				if report.Error != "" {
					s.failed++
					continue
				}
				s.changes = append(s.changes, report)
			}
		}
	}
}

func reportsOf(snapshot any) []failover.ChangeReport {
	var dump struct {
		Changes []failover.ChangeReport `json:"changes"`
	}
	document, err := json.Marshal(snapshot)
	if err != nil || json.Unmarshal(document, &dump) != nil {
		return nil
	}
	return dump.Changes
}

func (s *failoverSamples) result() FailoverResult {
	part := func(of func(failover.ChangeReport) time.Duration) Spread {
		var values []time.Duration
		for _, change := range s.changes {
			values = append(values, of(change))
		}
		return spreadOf(values)
	}
	return FailoverResult{
		Faults: s.faults, Changes: len(s.changes), FailedAttempts: s.failed, Unrecovered: s.unhealed, LostRows: s.lost,
		ClientGap: spreadOf(s.clients),
		Detection: part(func(c failover.ChangeReport) time.Duration { return c.Detection }),
		Claim:     part(func(c failover.ChangeReport) time.Duration { return c.Claim }),
		Fencing:   part(func(c failover.ChangeReport) time.Duration { return c.Fencing }),
		Promotion: part(func(c failover.ChangeReport) time.Duration { return c.Promotion }),
		Routing:   part(func(c failover.ChangeReport) time.Duration { return c.Routing }),
	}
}

// writers write to each group through each instance, without pause.
type writers struct {
	all     []*writer
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// writer is one client. Its mutex guards the fields below it.
type writer struct {
	in              *installation
	instance, group int

	mu   sync.Mutex
	acks []time.Time
	rows []int64
}

func startWriters(ctx context.Context, in *installation) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{cancel: cancel}
	for instance := range in.instances {
		for group := range in.groups {
			one := &writer{in: in, instance: instance, group: group}
			w.all = append(w.all, one)
			w.running.Go(func() { one.run(ctx) })
		}
	}
	return w
}

func (w *writers) stop() {
	w.cancel()
	w.running.Wait()
}

// awaitAll waits until each writer was acknowledged a write that began after
// the fault, and returns how many were not in time.
func (w *writers) awaitAll(fault time.Time) int {
	waiting := slices.Clone(w.all)
	for time.Since(fault) < maxGap {
		waiting = slices.DeleteFunc(waiting, func(one *writer) bool { return one.recovered(fault) })
		if len(waiting) == 0 {
			return 0
		}
		time.Sleep(gapInterval)
	}
	return len(waiting)
}

func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := w.in.connect(ctx, w.instance, 0, w.group)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		for w.write(ctx, conn) {
			time.Sleep(pauseOfWriters)
		}
		_ = conn.Close(context.Background())
	}
}

// write makes one write; it returns false if the connection is to be replaced.
func (w *writer) write(ctx context.Context, conn *pgx.Conn) bool {
	if ctx.Err() != nil {
		return false
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	row := lastRow.Add(1)
	if err := putNote(bounded, conn, row, 1); err != nil {
		time.Sleep(reconnectPause)
		return !conn.IsClosed()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks = append(w.acks, time.Now())
	w.rows = append(w.rows, row)
	return true
}

// recovered reports whether two writes were acknowledged after the fault by
// the new primary: the first could have run before it.
func (w *writer) recovered(fault time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	after := 0
	for _, ack := range w.acks {
		if ack.After(fault.Add(recoveredAfter)) {
			after++
		}
	}
	return after > 1
}

// recoveredAfter is later than any answer that the failed primary had sent.
const recoveredAfter = 150 * time.Millisecond

// gap is the longest time between two acknowledgements that ends after the
// fault.
func (w *writer) gap(fault time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := time.Duration(0)
	for i := 1; i < len(w.acks); i++ {
		if w.acks[i].After(fault) {
			longest = max(longest, w.acks[i].Sub(w.acks[i-1]))
		}
	}
	return longest
}

// missing counts acknowledged rows that the group's primary lacks.
func (w *writer) missing(ctx context.Context) int {
	conn, err := w.in.connectStraight(ctx, w.in.sites[w.instance], w.in.primary(w.group))
	if err != nil {
		return len(w.rows)
	}
	defer func() { _ = conn.Close(ctx) }()
	present := map[int64]bool{}
	rows, err := conn.Query(ctx, fmt.Sprintf("SELECT id FROM notes WHERE id >= %d", slices.Min(append(w.rows, 1<<62))))
	if err != nil {
		return len(w.rows)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil {
		return len(w.rows)
	}
	for _, id := range ids {
		present[id] = true
	}
	lost := 0
	for _, row := range w.rows {
		if !present[row] {
			lost++
		}
	}
	return lost
}
