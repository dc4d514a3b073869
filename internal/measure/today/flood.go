package today

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
)

// The flood is an open-loop workload of reads of one group. Each read holds a
// slot for floodStatementTime, so that the databases' slots and not this
// machine's processors are the bottleneck. Requests arrive at random times,
// whether or not earlier ones have completed.
const (
	floodPlans         = 4
	floodStatementTime = 20 * time.Millisecond
	// floodCapacity is in statements a second: three databases with three slots
	// each.
	floodCapacity   = float64(databases*slots) / 0.020
	normalLoad      = 0.5 // share of the capacity that all plans together use without a flood
	floodFactor     = 10
	goodputDeadline = 500 * time.Millisecond
	sessionsPerPlan = 40 // sessions of each plan at each instance
	warmUpDivisor   = 5  // the first fifth of a run is not counted
	connectWorkers  = 64
)

// FloodResult describes the service that plans got under one load and policy.
type FloodResult struct {
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Policy     string `json:"policy"`
	// GoodputShare is the rate of good replies, which arrived within
	// goodputDeadline, divided by floodCapacity.
	GoodputShare float64 `json:"goodput_share"`
	// JainIndex is Jain's fairness index of each plan's rate of good replies
	// divided by its max-min fair share.
	JainIndex float64 `json:"jain"`
	// OthersP99MS and FloodP99MS are the 99th percentile latencies of good
	// replies, of the plans that do not flood and of the one that does.
	OthersP99MS float64 `json:"others_p99_ms"`
	FloodP99MS  float64 `json:"flood_p99_ms"`
	// OthersGoodShare is the lowest share of good replies among the plans that
	// do not flood.
	OthersGoodShare float64 `json:"others_good_share"`
	RefusalMedianMS float64 `json:"refusal_median_ms"`
}

// load holds the request rate of each plan, in requests a second.
type load struct {
	name  string
	rates [floodPlans]float64
}

func loads(quick bool) []load {
	normalRate := floodCapacity * normalLoad / floodPlans
	flood := load{name: "one plan floods at 10x", rates: [floodPlans]float64{normalRate * floodFactor, normalRate, normalRate, normalRate}}
	evenLoad := func(name string, factor float64) load {
		rate := floodCapacity * factor / floodPlans
		return load{name: name, rates: [floodPlans]float64{rate, rate, rate, rate}}
	}
	if quick {
		return []load{flood, evenLoad("all at 10x", 10)}
	}
	return []load{flood, evenLoad("all at 1x", 1), evenLoad("all at 2x", 2), evenLoad("all at 5x", 5), evenLoad("all at 10x", 10)}
}

// floodPolicy is a way to serve the reads of a plan that arrive at an instance.
// serve runs one read; sent is false if all the plan's sessions at the instance
// were busy.
type floodPolicy struct {
	name  string
	serve func(ctx context.Context, plan, instance int) (sent bool, err error)
}

// measureFlood runs each load through the proxy and, as the baseline, first
// come, first served over a fixed share of connections for each instance.
func measureFlood(ctx context.Context, deployment Deployment, duration time.Duration, quick bool) ([]FloodResult, error) {
	options := installationOptions{
		deployment: deployment, plans: floodPlans, statementTime: floodStatementTime, lag: defaultLag,
	}
	in, err := startInstallation(ctx, options)
	if err != nil {
		return nil, err
	}
	sessions, err := openSessions(ctx, in)
	if err != nil {
		in.close()
		return nil, err
	}
	results := runLoads(ctx, in, floodPolicy{"cyclamenpin", sessions.serve}, duration, quick)
	sessions.close()
	in.close()

	if in, err = startInstallation(ctx, options); err != nil {
		return nil, err
	}
	defer in.close()
	pools, err := newDirectPools(ctx, in)
	if err != nil {
		return nil, err
	}
	defer pools.close()
	fifo := &fifoPolicy{pools: pools}
	return append(results, runLoads(ctx, in, floodPolicy{"FIFO, fixed split", fifo.serve}, duration, quick)...), nil
}

func runLoads(ctx context.Context, in *installation, policy floodPolicy, duration time.Duration, quick bool) []FloodResult {
	var results []FloodResult
	for _, load := range loads(quick) {
		run := &floodRun{policy: policy, load: load, duration: duration}
		run.run(ctx)
		result := run.result()
		result.Deployment = in.deployment.Name
		results = append(results, result)
	}
	return results
}

// planSessions holds the idle client sessions of all plans at all instances.
type planSessions struct {
	idle [floodPlans][instances]chan *pgx.Conn
}

func openSessions(ctx context.Context, in *installation) (*planSessions, error) {
	s := &planSessions{}
	opening, ctx := errgroup.WithContext(ctx)
	opening.SetLimit(connectWorkers)
	for plan := range floodPlans {
		for instance := range instances {
			idle := make(chan *pgx.Conn, sessionsPerPlan)
			s.idle[plan][instance] = idle
			for range sessionsPerPlan {
				opening.Go(func() error {
					conn, err := in.connect(ctx, instance, plan, 0)
					if err == nil {
						idle <- conn
					}
					return err
				})
			}
		}
	}
	if err := opening.Wait(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *planSessions) serve(_ context.Context, plan, instance int) (bool, error) {
	select {
	case conn := <-s.idle[plan][instance]:
		defer func() { s.idle[plan][instance] <- conn }()
		_, err := getNote(context.Background(), conn, 1)
		return true, err
	default:
		return false, nil
	}
}

func (s *planSessions) close() {
	for plan := range s.idle {
		for _, idle := range s.idle[plan] {
			for len(idle) > 0 {
				_ = (<-idle).Close(context.Background())
			}
		}
	}
}

// fifoPolicy chooses the databases round-robin and waits for a free connection.
type fifoPolicy struct {
	pools *directPools
	next  atomic.Uint64
}

func (f *fifoPolicy) serve(ctx context.Context, _, instance int) (bool, error) {
	servers := f.pools.in.groups[0].Servers()
	server := servers[f.next.Add(1)%uint64(len(servers))]
	err := f.pools.withConn(ctx, instance, server, func(conn *pgx.Conn) error {
		_, err := getNote(context.Background(), conn, 1)
		return err
	})
	return true, err
}

// floodRun runs one load under one policy and records the outcome of each
// plan's requests. Its mutex guards the fields below it.
type floodRun struct {
	policy    floodPolicy
	load      load
	duration  time.Duration
	countFrom time.Time

	mu       sync.Mutex
	offered  [floodPlans]int
	good     [floodPlans][]time.Duration
	refusals []time.Duration
}

func (r *floodRun) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var arrivals, requests sync.WaitGroup
	began := time.Now()
	r.countFrom = began.Add(r.duration / warmUpDivisor)
	for plan, rate := range r.load.rates {
		arrivals.Go(func() {
			random := rand.New(rand.NewPCG(workloadSeed, uint64(plan)))
			due := began
			for due.Before(began.Add(r.duration)) {
				due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				time.Sleep(time.Until(due))
				instance := random.IntN(instances)
				requests.Go(func() { r.send(ctx, plan, instance, due) })
			}
		})
	}
	arrivals.Wait()
	// Requests that are still running after goodputDeadline have missed it.
	time.Sleep(goodputDeadline)
	cancel()
	requests.Wait()
}

func (r *floodRun) send(ctx context.Context, plan, instance int, due time.Time) {
	sent, err := r.policy.serve(ctx, plan, instance)
	took := time.Since(due)
	if due.Before(r.countFrom) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered[plan]++
	switch {
	case !sent:
	case err != nil:
		r.refusals = append(r.refusals, took)
	case took <= goodputDeadline:
		r.good[plan] = append(r.good[plan], took)
	}
}

func (r *floodRun) result() FloodResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := (r.duration - r.duration/warmUpDivisor).Seconds()
	result := FloodResult{
		Load: r.load.name, Policy: r.policy.name, OthersGoodShare: 1,
		RefusalMedianMS: milliseconds(median(r.refusals)),
	}
	fairRates := maxMinFair(r.load.rates, floodCapacity)
	var others []time.Duration
	var fairShareRatios []float64
	for plan, good := range r.good {
		rate := float64(len(good)) / seconds
		result.GoodputShare += rate / floodCapacity
		fairShareRatios = append(fairShareRatios, rate/fairRates[plan])
		if plan > 0 {
			others = append(others, good...)
			result.OthersGoodShare = min(result.OthersGoodShare, float64(len(good))/float64(max(r.offered[plan], 1)))
		}
	}
	result.JainIndex = jainIndex(fairShareRatios)
	result.OthersP99MS = milliseconds(quantile(others, 0.99))
	result.FloodP99MS = milliseconds(quantile(r.good[0], 0.99))
	return result
}

// maxMinFair returns the max-min fair shares of a capacity: no plan gets more
// than its rate, and what a plan leaves is divided among the others.
func maxMinFair(rates [floodPlans]float64, capacity float64) []float64 {
	order := make([]int, 0, floodPlans)
	for plan := range rates {
		order = append(order, plan)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rates[a], rates[b]) })
	fair := make([]float64, floodPlans)
	for served, plan := range order {
		fair[plan] = min(rates[plan], capacity/float64(floodPlans-served))
		capacity -= fair[plan]
	}
	return fair
}
