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

// The flood's workload: reads of one group that hold a slot for a while, so
// that the databases' slots and not this machine's processors are scarce.
// Requests arrive at random, whether or not earlier ones were answered.
const (
	floodPlans     = 4
	floodStatement = 20 * time.Millisecond
	// floodCapacity is in statements a second: three databases of three slots.
	floodCapacity  = float64(databases*slots) / 0.020
	usualLoad      = 0.5 // share of the capacity that all plans use together
	floodFactor    = 10
	goodWithin     = 500 * time.Millisecond
	clientsOfPlan  = 40 // sessions of each plan at each instance
	warmUpShare    = 5  // one part in five of a run is not counted
	connectWorkers = 64
)

// FloodResult is what plans got under one load and policy.
type FloodResult struct {
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Policy     string `json:"policy"`
	// GoodputShare is the rate of answers within goodWithin by the capacity.
	GoodputShare float64 `json:"goodput_share"`
	// JainIndex is JainIndex's index over what each plan got by its max-min fair share.
	JainIndex float64 `json:"jain"`
	// OthersP99MS and FloodP99MS are the 99th percentiles of good answers.
	OthersP99MS float64 `json:"others_p99_ms"`
	FloodP99MS  float64 `json:"flood_p99_ms"`
	// OthersGoodShare is the least share of good answers of a plan that does
	// not flood.
	OthersGoodShare float64 `json:"others_good_share"`
	RefusalMedianMS float64 `json:"refusal_median_ms"`
}

// load is the rate of each plan, in requests a second.
type load struct {
	name  string
	rates [floodPlans]float64
}

func loads(quick bool) []load {
	usual := floodCapacity * usualLoad / floodPlans
	flood := load{name: "one plan floods at 10x", rates: [floodPlans]float64{usual * floodFactor, usual, usual, usual}}
	even := func(name string, factor float64) load {
		each := floodCapacity * factor / floodPlans
		return load{name: name, rates: [floodPlans]float64{each, each, each, each}}
	}
	if quick {
		return []load{flood, even("all at 10x", 10)}
	}
	return []load{flood, even("all at 1x", 1), even("all at 2x", 2), even("all at 5x", 5), even("all at 10x", 10)}
}

// floodPolicy serves one read of a plan that arrives at an instance. sent is
// false if the plan had no client that was free to send it.
type floodPolicy struct {
	name  string
	serve func(ctx context.Context, plan, instance int) (sent bool, err error)
}

// measureFlood runs each load through the proxy and through the naive policy:
// first come, first served, each instance with a fixed share of connections.
func measureFlood(ctx context.Context, deployment Deployment, duration time.Duration, quick bool) ([]FloodResult, error) {
	options := installationOptions{
		deployment: deployment, plans: floodPlans, statementTime: floodStatement, lag: failoverLag,
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
	pools, err := newStraightPools(ctx, in)
	if err != nil {
		return nil, err
	}
	defer pools.close()
	naive := &firstCome{pools: pools}
	return append(results, runLoads(ctx, in, floodPolicy{"FIFO, fixed split", naive.serve}, duration, quick)...), nil
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

// planSessions are the client sessions of all plans at all instances.
type planSessions struct {
	idle [floodPlans][instances]chan *pgx.Conn
}

func openSessions(ctx context.Context, in *installation) (*planSessions, error) {
	s := &planSessions{}
	opening, ctx := errgroup.WithContext(ctx)
	opening.SetLimit(connectWorkers)
	for plan := range floodPlans {
		for instance := range instances {
			idle := make(chan *pgx.Conn, clientsOfPlan)
			s.idle[plan][instance] = idle
			for range clientsOfPlan {
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

// firstCome takes the databases in turn and waits for a free connection.
type firstCome struct {
	pools *straightPools
	next  atomic.Uint64
}

func (f *firstCome) serve(ctx context.Context, _, instance int) (bool, error) {
	servers := f.pools.in.groups[0].Servers()
	server := servers[f.next.Add(1)%uint64(len(servers))]
	err := f.pools.with(ctx, instance, server, func(conn *pgx.Conn) error {
		_, err := getNote(context.Background(), conn, 1)
		return err
	})
	return true, err
}

// floodRun counts what became of each plan's requests. Its mutex guards the
// fields below it.
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
	r.countFrom = began.Add(r.duration / warmUpShare)
	for plan, rate := range r.load.rates {
		arrivals.Go(func() {
			random := rand.New(rand.NewPCG(workloadSeed, uint64(plan)))
			due := began
			for due.Before(began.Add(r.duration)) {
				due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				time.Sleep(time.Until(due))
				instance := random.IntN(instances)
				requests.Go(func() { r.request(ctx, plan, instance, due) })
			}
		})
	}
	arrivals.Wait()
	// What still waits after the deadline counts as late in any case.
	time.Sleep(goodWithin)
	cancel()
	requests.Wait()
}

func (r *floodRun) request(ctx context.Context, plan, instance int, due time.Time) {
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
	case took <= goodWithin:
		r.good[plan] = append(r.good[plan], took)
	}
}

func (r *floodRun) result() FloodResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := (r.duration - r.duration/warmUpShare).Seconds()
	result := FloodResult{
		Load: r.load.name, Policy: r.policy.name, OthersGoodShare: 1,
		RefusalMedianMS: milliseconds(median(r.refusals)),
	}
	fair := maxMinFair(r.load.rates, floodCapacity)
	var others []time.Duration
	var satisfied []float64
	for plan, good := range r.good {
		rate := float64(len(good)) / seconds
		result.GoodputShare += rate / floodCapacity
		satisfied = append(satisfied, rate/fair[plan])
		if plan > 0 {
			others = append(others, good...)
			result.OthersGoodShare = min(result.OthersGoodShare, float64(len(good))/float64(max(r.offered[plan], 1)))
		}
	}
	result.JainIndex = jain(satisfied)
	result.OthersP99MS = milliseconds(quantile(others, 0.99))
	result.FloodP99MS = milliseconds(quantile(r.good[0], 0.99))
	return result
}

// maxMinFair divides a capacity: no plan gets more than it asks for, and what
// one leaves is divided among the others.
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
