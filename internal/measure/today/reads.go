package today

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// The workload of the read measurement has separate sessions for each pair of
// instance and group. Half of them only read. The others write at one step in
// ten and immediately read what they wrote. At one step in forty a session
// switches to another instance; the baselines then no longer take its earlier
// writes into account, whereas the proxy does.
const (
	sessionsPerGroup  = 4 // at each instance, for each group
	meanThinkTime     = 40 * time.Millisecond
	meanSessionTime   = 2500 * time.Millisecond
	writeShare        = 0.1
	switchShare       = 0.025
	readStatementTime = time.Millisecond
	maxFailureTexts   = 3
	slowReplicaLag    = 1500 * time.Millisecond
	workloadSeed      = 20261203
)

// ReadResult describes the reads of the workload under one policy and one
// replication lag.
type ReadResult struct {
	Deployment   string  `json:"deployment"`
	Lag          string  `json:"lag"`
	Policy       string  `json:"policy"`
	Reads        int     `json:"reads"`
	ReplicaShare float64 `json:"replica_share"`
	MedianMS     float64 `json:"median_ms"`
	P99MS        float64 `json:"p99_ms"`
	// WriteMedianMS is the median time of a write.
	WriteMedianMS float64 `json:"write_median_ms"`
	// ReadYourWritesViolations counts reads that did not see the session's own
	// last write.
	ReadYourWritesViolations int      `json:"broken_read_your_writes"`
	Failed                   int      `json:"failed"`
	Failures                 []string `json:"failures,omitempty"`
}

// lagSetting is a named setting of the databases' replication lag.
type lagSetting struct {
	name  string
	apply func(*installation)
}

func lagSettings(quick bool) []lagSetting {
	uniform := func(lag time.Duration) lagSetting {
		return lagSetting{name: lag.String(), apply: func(in *installation) { in.setReplicationLag(lag) }}
	}
	slow := lagSetting{name: "50ms, one 1.5s", apply: func(in *installation) {
		in.setReplicationLag(50 * time.Millisecond)
		for _, group := range in.groups {
			group.Servers()[1].SetReplicationLag(slowReplicaLag)
		}
	}}
	if quick {
		return []lagSetting{uniform(50 * time.Millisecond), slow}
	}
	return []lagSetting{uniform(5 * time.Millisecond), uniform(50 * time.Millisecond), uniform(200 * time.Millisecond), slow}
}

// readPolicy opens sessions that choose a database for each read in one way.
type readPolicy struct {
	name string
	open func(ctx context.Context, instance, group int) (clientSession, error)
}

func proxyPolicies(in *installation) []readPolicy {
	openProxied := func(maxStaleness string) func(context.Context, int, int) (clientSession, error) {
		return func(ctx context.Context, instance, group int) (clientSession, error) {
			session := &proxySession{in: in, group: group, maxStaleness: maxStaleness}
			return session, session.open(ctx, instance)
		}
	}
	return []readPolicy{
		{"cyclamenpin", openProxied("")},
		{"cyclamenpin, max_staleness 5s", openProxied("5s")},
	}
}

func baselinePolicies(in *installation, pools *directPools) []readPolicy {
	openSticky := func(stickyTime time.Duration) func(context.Context, int, int) (clientSession, error) {
		return func(_ context.Context, instance, group int) (clientSession, error) {
			return &stickySession{in: in, pools: pools, group: group, instance: instance, stickyTime: stickyTime}, nil
		}
	}
	return []readPolicy{
		{"all to the primary", openSticky(-1)},
		{"primary for 1s after a write", openSticky(time.Second)},
		{"primary for 5s after a write", openSticky(5 * time.Second)},
	}
}

// measureReads runs the workload under each policy and replication lag. The
// baselines use a separate installation, so that connections held by the proxy
// don't reduce theirs, nor theirs the proxy's.
func measureReads(ctx context.Context, deployment Deployment, duration time.Duration, quick bool) ([]ReadResult, error) {
	in, err := startInstallation(ctx, installationOptions{
		deployment: deployment, plans: 1, statementTime: readStatementTime, lag: 5 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	results := runPolicies(ctx, in, proxyPolicies(in), duration, quick)
	in.close()
	in, err = startInstallation(ctx, installationOptions{
		deployment: deployment, plans: 1, statementTime: readStatementTime, lag: 5 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	defer in.close()
	pools, err := newDirectPools(ctx, in)
	if err != nil {
		return nil, err
	}
	defer pools.close()
	return append(results, runPolicies(ctx, in, baselinePolicies(in, pools), duration, quick)...), nil
}

func runPolicies(ctx context.Context, in *installation, policies []readPolicy, duration time.Duration, quick bool) []ReadResult {
	var results []ReadResult
	for _, lag := range lagSettings(quick) {
		lag.apply(in)
		for _, policy := range policies {
			run := newReadRun(in, policy)
			run.run(ctx, duration)
			result := run.result()
			result.Deployment, result.Lag = in.deployment.Name, lag.name
			results = append(results, result)
		}
	}
	return results
}

// readRun runs the workload under one policy and records the outcome of its
// requests. Its mutex guards the fields below it.
type readRun struct {
	in        *installation
	policy    readPolicy
	primaries [groups]state.DatabaseID

	mu              sync.Mutex
	reads           []time.Duration
	writes          []time.Duration
	replicaReads    int
	attributedReads int // reads whose serving database is known
	violations      int
	failed          int
	// failureTexts holds the texts of the first few failures, for the report.
	failureTexts []string
}

// lastRowID is the highest row id in use. Each session has a row of its own.
var lastRowID atomic.Int64

func newReadRun(in *installation, policy readPolicy) *readRun {
	run := &readRun{in: in, policy: policy}
	for number, group := range in.groups {
		run.primaries[number] = group.Describe().Primary
	}
	return run
}

func (r *readRun) run(ctx context.Context, duration time.Duration) {
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for number := range instances * groups * sessionsPerGroup {
		running.Go(func() {
			random := rand.New(rand.NewPCG(workloadSeed, uint64(number)))
			for time.Now().Before(end) && ctx.Err() == nil {
				r.runSession(ctx, number, random, end)
			}
		})
	}
	running.Wait()
}

// runSession runs one client session from its start to its end.
func (r *readRun) runSession(ctx context.Context, number int, random *rand.Rand, end time.Time) {
	group := number / instances % groups
	isWriter := number/(instances*groups)%2 == 0
	session, err := r.policy.open(ctx, number%instances, group)
	if err != nil {
		r.recordFailure(err)
		time.Sleep(meanThinkTime)
		return
	}
	defer session.close()
	end = earlier(end, time.Now().Add(meanSessionTime/2+time.Duration(random.Int64N(int64(meanSessionTime)))))
	row := lastRowID.Add(1)
	version := int64(0)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanThinkTime))))
		if isWriter && random.Float64() < writeShare && r.write(ctx, session, row, version+1) {
			version++
		}
		if random.Float64() < switchShare {
			if err := session.switchInstance(ctx, random.IntN(instances)); err != nil {
				r.recordFailure(err)
				return
			}
		}
		r.read(ctx, session, group, row, version)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *readRun) write(ctx context.Context, session clientSession, row, version int64) bool {
	began := time.Now()
	if err := session.write(ctx, row, version); err != nil {
		r.recordFailure(err)
		return false
	}
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, took)
	return true
}

func (r *readRun) read(ctx context.Context, session clientSession, group int, row, written int64) {
	began := time.Now()
	seen, servedBy, err := session.read(ctx, row)
	took := time.Since(began)
	if err != nil {
		r.recordFailure(err)
		return
	}
	if viaProxy, ok := session.(*proxySession); ok {
		servedBy, _ = viaProxy.servedBy(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, took)
	if seen < written {
		r.violations++
	}
	if servedBy == "" {
		return
	}
	r.attributedReads++
	if servedBy != r.primaries[group] {
		r.replicaReads++
	}
}

func (r *readRun) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
	if len(r.failureTexts) < maxFailureTexts {
		r.failureTexts = append(r.failureTexts, errorText(err))
	}
}

// errorText returns the text of an error, with its PostgreSQL detail if it has
// one.
func errorText(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Error() + " " + pgErr.Detail
	}
	return err.Error()
}

func (r *readRun) result() ReadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ReadResult{
		Policy: r.policy.name, Reads: len(r.reads), ReadYourWritesViolations: r.violations, Failed: r.failed, Failures: r.failureTexts,
		ReplicaShare: float64(r.replicaReads) / float64(max(r.attributedReads, 1)),
		MedianMS:     milliseconds(median(r.reads)), P99MS: milliseconds(quantile(r.reads, 0.99)),
		WriteMedianMS: milliseconds(median(r.writes)),
	}
}
