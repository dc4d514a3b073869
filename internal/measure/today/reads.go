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

// The portal's workload: sessions of their own at each instance and group.
// Half of them only read. The others write at one step in ten and read at once
// what they wrote. At one step in forty a session goes on through another
// instance, which is when nothing but the proxy knows of its writes.
const (
	sessionsEach   = 4 // at each instance and group
	thinkTime      = 40 * time.Millisecond
	sessionTime    = 2500 * time.Millisecond
	writeShare     = 0.1
	roamShare      = 0.025
	readStatement  = time.Millisecond
	keptFailures   = 3
	slowReplicaLag = 1500 * time.Millisecond
	workloadSeed   = 20261203
)

// ReadResult is the reading of one workload under one policy.
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
	// ReadYourWritesViolations counts reads that did not see the session's own last write.
	ReadYourWritesViolations int      `json:"broken_read_your_writes"`
	Failed                   int      `json:"failed"`
	Failures                 []string `json:"failures,omitempty"`
}

// lagSetting is one setting of the replication lag.
type lagSetting struct {
	name  string
	apply func(*installation)
}

func lagSettings(quick bool) []lagSetting {
	every := func(lag time.Duration) lagSetting {
		return lagSetting{name: lag.String(), apply: func(in *installation) { in.setLag(lag) }}
	}
	slow := lagSetting{name: "50ms, one 1.5s", apply: func(in *installation) {
		in.setLag(50 * time.Millisecond)
		for _, group := range in.groups {
			group.Servers()[1].SetReplicationLag(slowReplicaLag)
		}
	}}
	if quick {
		return []lagSetting{every(50 * time.Millisecond), slow}
	}
	return []lagSetting{every(5 * time.Millisecond), every(50 * time.Millisecond), every(200 * time.Millisecond), slow}
}

// readPolicy makes sessions of one policy.
type readPolicy struct {
	name string
	open func(ctx context.Context, instance, group int) (portalSession, error)
}

func proxiedPolicies(in *installation) []readPolicy {
	through := func(maxStaleness string) func(context.Context, int, int) (portalSession, error) {
		return func(ctx context.Context, instance, group int) (portalSession, error) {
			session := &proxied{in: in, group: group, maxStaleness: maxStaleness}
			return session, session.open(ctx, instance)
		}
	}
	return []readPolicy{
		{"cyclamenpin", through("")},
		{"cyclamenpin, max_staleness 5s", through("5s")},
	}
}

func baselinePolicies(in *installation, pools *straightPools) []readPolicy {
	stick := func(stickFor time.Duration) func(context.Context, int, int) (portalSession, error) {
		return func(_ context.Context, instance, group int) (portalSession, error) {
			return &sticky{in: in, pools: pools, group: group, instance: instance, stickFor: stickFor}, nil
		}
	}
	return []readPolicy{
		{"all to the primary", stick(-1)},
		{"primary for 1s after a write", stick(time.Second)},
		{"primary for 5s after a write", stick(5 * time.Second)},
	}
}

// measureReads runs the portal's workload under each policy and lag. The
// baselines have an installation of their own, so that neither side holds
// connections that the other lacks.
func measureReads(ctx context.Context, deployment Deployment, duration time.Duration, quick bool) ([]ReadResult, error) {
	in, err := startInstallation(ctx, installationOptions{
		deployment: deployment, plans: 1, statementTime: readStatement, lag: 5 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	results := runPolicies(ctx, in, proxiedPolicies(in), duration, quick)
	in.close()
	in, err = startInstallation(ctx, installationOptions{
		deployment: deployment, plans: 1, statementTime: readStatement, lag: 5 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	defer in.close()
	pools, err := newStraightPools(ctx, in)
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
			run := newPortalRun(in, policy)
			run.run(ctx, duration)
			result := run.result()
			result.Deployment, result.Lag = in.deployment.Name, lag.name
			results = append(results, result)
		}
	}
	return results
}

// portalRun counts what became of the workload's requests. Its mutex guards
// the fields below it.
type portalRun struct {
	in        *installation
	policy    readPolicy
	primaries [groups]state.DatabaseID

	mu       sync.Mutex
	reads    []time.Duration
	writes   []time.Duration
	replicas int
	known    int // reads of which is known who served them
	broken   int
	failed   int
	// failures are the first few, for the report.
	failures []string
}

// lastRow numbers the rows of sessions, each of which has its own.
var lastRow atomic.Int64

func newPortalRun(in *installation, policy readPolicy) *portalRun {
	run := &portalRun{in: in, policy: policy}
	for number, group := range in.groups {
		run.primaries[number] = group.Describe().Primary
	}
	return run
}

func (r *portalRun) run(ctx context.Context, duration time.Duration) {
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for number := range instances * groups * sessionsEach {
		running.Go(func() {
			random := rand.New(rand.NewPCG(workloadSeed, uint64(number)))
			for time.Now().Before(end) && ctx.Err() == nil {
				r.session(ctx, number, random, end)
			}
		})
	}
	running.Wait()
}

// session runs one client session from its start to its end.
func (r *portalRun) session(ctx context.Context, number int, random *rand.Rand, end time.Time) {
	group := number / instances % groups
	writes := number/(instances*groups)%2 == 0
	session, err := r.policy.open(ctx, number%instances, group)
	if err != nil {
		r.fail(err)
		time.Sleep(thinkTime)
		return
	}
	defer session.close()
	end = earlier(end, time.Now().Add(sessionTime/2+time.Duration(random.Int64N(int64(sessionTime)))))
	row := lastRow.Add(1)
	version := int64(0)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(2 * thinkTime))))
		if writes && random.Float64() < writeShare && r.write(ctx, session, row, version+1) {
			version++
		}
		if random.Float64() < roamShare {
			if err := session.roam(ctx, random.IntN(instances)); err != nil {
				r.fail(err)
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

func (r *portalRun) write(ctx context.Context, session portalSession, row, version int64) bool {
	began := time.Now()
	if err := session.write(ctx, row, version); err != nil {
		r.fail(err)
		return false
	}
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, took)
	return true
}

func (r *portalRun) read(ctx context.Context, session portalSession, group int, row, written int64) {
	began := time.Now()
	seen, servedBy, err := session.read(ctx, row)
	took := time.Since(began)
	if err != nil {
		r.fail(err)
		return
	}
	if through, ok := session.(*proxied); ok {
		servedBy, _ = through.servedBy(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, took)
	if seen < written {
		r.broken++
	}
	if servedBy == "" {
		return
	}
	r.known++
	if servedBy != r.primaries[group] {
		r.replicas++
	}
}

func (r *portalRun) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
	if len(r.failures) < keptFailures {
		r.failures = append(r.failures, describe(err))
	}
}

// describe writes an error with the detail that the proxy gave.
func describe(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Error() + " " + answer.Detail
	}
	return err.Error()
}

func (r *portalRun) result() ReadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ReadResult{
		Policy: r.policy.name, Reads: len(r.reads), ReadYourWritesViolations: r.broken, Failed: r.failed, Failures: r.failures,
		ReplicaShare: float64(r.replicas) / float64(max(r.known, 1)),
		MedianMS:     milliseconds(median(r.reads)), P99MS: milliseconds(quantile(r.reads, 0.99)),
		WriteMedianMS: milliseconds(median(r.writes)),
	}
}
