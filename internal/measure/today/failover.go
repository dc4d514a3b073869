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

// Durations and intervals of the failover measurement.
const (
	steadyTime           = time.Second
	platformDownFor      = 500 * time.Millisecond // how long before the fault the platform goes down
	recoveryTimeout      = 25 * time.Second
	writePause           = 5 * time.Millisecond
	reconnectPause       = 20 * time.Millisecond
	recoveryPollInterval = 20 * time.Millisecond
	defaultLag           = 5 * time.Millisecond
	writeTimeout         = 20 * time.Second
)

// fault is a way in which a primary fails, with the platform up or down.
type fault struct {
	name         string
	platformDown bool
	inject       func(*database.Server)
}

func faults(quick bool) []fault {
	kill := func(server *database.Server) { server.Kill() }
	freeze := func(server *database.Server) { server.SetFrozen(true) }
	platformUp := []fault{{name: "killed", inject: kill}, {name: "frozen", inject: freeze}}
	if quick {
		return platformUp
	}
	return append(platformUp, []fault{
		{name: "killed, platform down", inject: kill, platformDown: true},
		{name: "frozen, platform down", inject: freeze, platformDown: true},
	}...)
}

// Spread holds the median and the worst of several samples, in milliseconds.
type Spread struct {
	MedianMS float64 `json:"median_ms"`
	WorstMS  float64 `json:"worst_ms"`
}

func newSpread(values []time.Duration) Spread {
	return Spread{MedianMS: milliseconds(median(values)), WorstMS: milliseconds(worst(values))}
}

// FailoverResult describes the primary changes after one kind of fault.
type FailoverResult struct {
	Deployment string `json:"deployment"`
	Fault      string `json:"fault"`
	// Faults is the number of primaries that failed, three at a time. Changes
	// is the number of completed primary changes that the instances reported.
	Faults  int `json:"faults"`
	Changes int `json:"changed"`
	// FailedAttempts is the number of primary changes that were reported with
	// an error.
	FailedAttempts int `json:"failed_attempts"`
	// ClientGap is the longest time between two consecutive acknowledged writes
	// of a client. There are four clients for each fault.
	ClientGap Spread `json:"client"`
	// Unrecovered counts clients whose writes did not succeed again within
	// recoveryTimeout.
	Unrecovered int `json:"unhealed"`
	// LostRows counts acknowledged rows that were missing afterwards.
	LostRows  int    `json:"acknowledged_rows_lost"`
	Detection Spread `json:"detection"`
	Claim     Spread `json:"claim"`
	Fencing   Spread `json:"fencing"`
	Promotion Spread `json:"promotion"`
	Routing   Spread `json:"routing"`
}

// measureFailover measures the gap after each kind of fault. Each round starts
// a new installation, because the proxy enforces a minimum interval between
// primary changes of one group.
func measureFailover(ctx context.Context, deployment Deployment, rounds int, quick bool) ([]FailoverResult, error) {
	var results []FailoverResult
	for _, fault := range faults(quick) {
		samples := &failoverSamples{}
		for range rounds {
			if err := samples.runRound(ctx, deployment, fault); err != nil {
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
	faults, failedAttempts, unrecovered, lostRows int
	clientGaps                                    []time.Duration
	changes                                       []failover.ChangeReport
}

func (s *failoverSamples) runRound(ctx context.Context, deployment Deployment, fault fault) error {
	in, err := startInstallation(ctx, installationOptions{
		deployment: deployment, plans: 1, statementTime: readStatementTime, lag: defaultLag,
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
		fault.inject(in.primary(number))
	}
	s.unrecovered += writers.awaitRecovery(began)
	s.faults += len(in.groups)
	time.Sleep(steadyTime)
	writers.stop()
	for _, writer := range writers.all {
		s.clientGaps = append(s.clientGaps, writer.longestGap(began))
		s.lostRows += writer.countLostRows(ctx)
	}
	s.collectChangeReports(in)
	return nil
}

// collectChangeReports reads the reports of primary changes from the state
// dumps of all instances.
func (s *failoverSamples) collectChangeReports(in *installation) {
	for _, instance := range in.instances {
		for _, group := range instance.Dump().Groups {
			for _, report := range changeReports(group.State) {
				if report.Error != "" {
					s.failedAttempts++
					continue
				}
				s.changes = append(s.changes, report)
			}
		}
	}
}

func changeReports(snapshot any) []failover.ChangeReport {
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
	phaseSpread := func(durationOf func(failover.ChangeReport) time.Duration) Spread {
		var values []time.Duration
		for _, change := range s.changes {
			values = append(values, durationOf(change))
		}
		return newSpread(values)
	}
	return FailoverResult{
		Faults: s.faults, Changes: len(s.changes), FailedAttempts: s.failedAttempts, Unrecovered: s.unrecovered, LostRows: s.lostRows,
		ClientGap: newSpread(s.clientGaps),
		Detection: phaseSpread(func(c failover.ChangeReport) time.Duration { return c.Detection }),
		Claim:     phaseSpread(func(c failover.ChangeReport) time.Duration { return c.Claim }),
		Fencing:   phaseSpread(func(c failover.ChangeReport) time.Duration { return c.Fencing }),
		Promotion: phaseSpread(func(c failover.ChangeReport) time.Duration { return c.Promotion }),
		Routing:   phaseSpread(func(c failover.ChangeReport) time.Duration { return c.Routing }),
	}
}

// writers are clients that write continuously, one for each pair of instance
// and group.
type writers struct {
	all     []*writer
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// writer is a client that writes new rows to one group through one instance.
// Its mutex guards the fields below it.
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
			client := &writer{in: in, instance: instance, group: group}
			w.all = append(w.all, client)
			w.running.Go(func() { client.run(ctx) })
		}
	}
	return w
}

func (w *writers) stop() {
	w.cancel()
	w.running.Wait()
}

// awaitRecovery waits until each writer has received an acknowledgement of a
// write that began after the fault. It returns the number of writers that had
// none within recoveryTimeout.
func (w *writers) awaitRecovery(fault time.Time) int {
	waiting := slices.Clone(w.all)
	for time.Since(fault) < recoveryTimeout {
		waiting = slices.DeleteFunc(waiting, func(client *writer) bool { return client.recovered(fault) })
		if len(waiting) == 0 {
			return 0
		}
		time.Sleep(recoveryPollInterval)
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
			time.Sleep(writePause)
		}
		_ = conn.Close(context.Background())
	}
}

// write writes one row. It returns false if the connection must be replaced or
// the writer stops.
func (w *writer) write(ctx context.Context, conn *pgx.Conn) bool {
	if ctx.Err() != nil {
		return false
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	row := lastRowID.Add(1)
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

// recovered reports whether the new primary has acknowledged two writes. One is
// not enough, because it could have run before the fault.
func (w *writer) recovered(fault time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	after := 0
	for _, ack := range w.acks {
		if ack.After(fault.Add(inFlightReplyTime)) {
			after++
		}
	}
	return after > 1
}

// inFlightReplyTime is the time after the fault by which all replies that the
// failed primary had sent have arrived.
const inFlightReplyTime = 150 * time.Millisecond

// longestGap returns the longest time between two consecutive acknowledgements
// of which the second came after the fault.
func (w *writer) longestGap(fault time.Time) time.Duration {
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

// countLostRows counts the acknowledged rows that are missing on the group's
// primary. If the primary can't be read, all rows count as lost.
func (w *writer) countLostRows(ctx context.Context) int {
	conn, err := w.in.connectDirect(ctx, w.in.sites[w.instance], w.in.primary(w.group))
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
