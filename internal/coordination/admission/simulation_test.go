package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// The simulated backend server has 3 slots, which run 5 ms statements at 600 a
// second, and 10 connections. The round trip to its owner is 1 ms.
const (
	simSlots            = 3
	simConnections      = 10
	simServiceTime      = 5 * time.Millisecond
	simRoundTrip        = time.Millisecond
	simCapacity         = float64(simSlots) / 0.005 // statements a second
	simDeadline         = 500 * time.Millisecond
	simQueueTimeout     = 400 * time.Millisecond
	simStatementTimeout = 2 * time.Second // after which a statement without a reply fails
	simSeed             = 20261203
)

var errUnresponsive = errors.New("backend server is unresponsive")

// inVirtualTime runs a benchmark's simulation in virtual time.
func inVirtualTime(b *testing.B, simulate func()) {
	test := testing.InternalTest{Name: "simulation", F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { simulate() })
	}}
	every := func(string, string) (bool, error) { return true, nil }
	for b.Loop() {
		if !testing.RunTests(every, []testing.InternalTest{test}) {
			b.Fatal("simulation failed")
		}
	}
}

// database runs statements on its slots in the order of their arrival. It is
// unresponsive between outageStart and outageEnd.
type database struct {
	slots                  chan struct{}
	roundTrip              time.Duration
	outageStart, outageEnd time.Time
}

func newDatabase(roundTrip time.Duration) *database {
	return &database{slots: make(chan struct{}, simSlots), roundTrip: roundTrip}
}

func (d *database) run(service time.Duration) error {
	if remaining := time.Until(d.outageEnd); remaining > 0 && !time.Now().Before(d.outageStart) {
		time.Sleep(min(remaining, simStatementTimeout))
		return errUnresponsive
	}
	time.Sleep(d.roundTrip / 2)
	d.slots <- struct{}{}
	time.Sleep(service)
	<-d.slots
	time.Sleep(d.roundTrip / 2)
	return nil
}

// serveFunc runs one request or refuses it.
type serveFunc func(ctx context.Context, plan state.PlanID, service time.Duration) error

// serveThroughGate runs requests that a Gate admits.
func serveThroughGate(g *Gate, d *database) serveFunc {
	return func(ctx context.Context, plan state.PlanID, service time.Duration) error {
		began := time.Now()
		lease, err := g.AcquireConnection(ctx, plan, simQueueTimeout)
		if err != nil {
			return err
		}
		defer lease.Release()
		slot, err := g.AcquireSlot(ctx, plan, false, simQueueTimeout-time.Since(began))
		if err != nil {
			return err
		}
		if err = d.run(service); err != nil {
			slot.Release(SlotAborted)
			return err
		}
		slot.Release(SlotCompleted)
		return nil
	}
}

// serveFIFO runs requests in the order of arrival and never refuses one. With
// drop it skips requests whose context has ended by the time a connection is
// free.
func serveFIFO(d *database, drop bool) serveFunc {
	connections := make(chan struct{}, simConnections)
	return func(ctx context.Context, _ state.PlanID, service time.Duration) error {
		connections <- struct{}{}
		defer func() { <-connections }()
		if drop && ctx.Err() != nil {
			return ctx.Err()
		}
		return d.run(service)
	}
}

// flow is one plan's stream of requests with random arrival times.
type flow struct {
	plan        state.PlanID
	arrivalRate float64 // requests a second
	service     time.Duration
}

// tally counts the results of a flow's requests.
type tally struct {
	pending   sync.WaitGroup
	mu        sync.Mutex
	offered   int
	onTime    int // completed within simDeadline
	slotTime  time.Duration
	latencies []time.Duration // of the requests that were on time
	refusals  []time.Duration // time until a refusal
	late      int
}

func (t *tally) record(began time.Time, service time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := time.Since(began)
	switch {
	case err != nil:
		t.refusals = append(t.refusals, took)
	case took > simDeadline:
		t.late++
	default:
		t.onTime++
		t.slotTime += service
		t.latencies = append(t.latencies, took)
	}
}

func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(q*float64(len(values)-1))]) / float64(time.Millisecond)
}

// offer sends a flow's requests for the given time. Each context ends at
// simDeadline; serve decides what happens to the request after that.
func offer(f flow, length time.Duration, serve serveFunc, seed uint64, result *tally) {
	random := rand.New(rand.NewPCG(simSeed, seed))
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / f.arrivalRate * float64(time.Second)))
		service := time.Duration(random.ExpFloat64() * float64(f.service))
		result.offered++
		result.pending.Go(func() {
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
			defer cancel()
			result.record(began, service, serve(ctx, f.plan, service))
		})
	}
}

// simulate offers all flows at once and returns their tallies. Requests that end
// after length do not count.
func simulate(flows []flow, length time.Duration, serve serveFunc) []*tally {
	tallies := make([]*tally, len(flows))
	var sources sync.WaitGroup
	for i, f := range flows {
		tallies[i] = &tally{}
		sources.Go(func() { offer(f, length, serve, uint64(i), tallies[i]) })
	}
	sources.Wait()
	results := make([]*tally, len(flows))
	for i, t := range tallies {
		t.mu.Lock()
		results[i] = &tally{
			offered: t.offered, onTime: t.onTime, slotTime: t.slotTime, late: t.late,
			latencies: slices.Clone(t.latencies), refusals: slices.Clone(t.refusals),
		}
		t.mu.Unlock()
	}
	for _, t := range tallies {
		t.pending.Wait()
	}
	return results
}

func simGate(flows []flow) *Gate {
	g := NewGate(Options{Server: "sim", Connections: simConnections, Slots: simSlots})
	limits := map[state.PlanID]PlanLimit{}
	for _, f := range flows {
		limits[f.plan] = PlanLimit{MaxConnections: simConnections, Weight: 1}
	}
	g.SetLimits(limits)
	return g
}

// servingPolicies lists the policies that the benchmarks compare.
var servingPolicies = []struct {
	name string
	make func([]flow, *database) serveFunc
}{
	{"gate", func(flows []flow, d *database) serveFunc { return serveThroughGate(simGate(flows), d) }},
	{"fifo", func(_ []flow, d *database) serveFunc { return serveFIFO(d, false) }},
	{"fifo-drop", func(_ []flow, d *database) serveFunc { return serveFIFO(d, true) }},
}

// BenchmarkGoodput reports the share of the backend server's capacity that is
// used for requests completed within the deadline, at a load of 1 to 10 times
// its capacity.
func BenchmarkGoodput(b *testing.B) {
	const length = 10 * time.Second
	for _, load := range []struct {
		name  string
		times float64
	}{{"1x", 1}, {"2x", 2}, {"5x", 5}, {"10x", 10}} {
		for _, policy := range servingPolicies {
			b.Run(load.name+"/"+policy.name, func(b *testing.B) {
				flows := []flow{{"a", load.times * simCapacity, simServiceTime}}
				var result *tally
				inVirtualTime(b, func() {
					result = simulate(flows, length, policy.make(flows, newDatabase(simRoundTrip)))[0]
				})
				b.ReportMetric(result.slotTime.Seconds()/length.Seconds()/simSlots, "goodput/capacity")
				b.ReportMetric(float64(result.late)/float64(result.offered), "late/offered")
				b.ReportMetric(quantile(result.latencies, 0.99), "p99-ms")
				b.ReportMetric(quantile(result.refusals, 0.99), "refusal-p99-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// jainIndex returns Jain's fairness index, which is 1 if all values are equal.
func jainIndex(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(values)) * squares)
}

// BenchmarkFairness runs a plan that floods the server beside four others that
// each need 15 % of the capacity, which is below their fair share. The flood is
// entitled to the remaining 40 %. Shares are of slot time.
func BenchmarkFairness(b *testing.B) {
	const length = 10 * time.Second
	const modestShare = 0.15
	floods := map[string]flow{
		"short": {"flood", 10 * simCapacity, simServiceTime},
		"long":  {"flood", simCapacity, 20 * simServiceTime},
	}
	for _, kind := range []string{"short", "long"} {
		for _, policy := range servingPolicies {
			b.Run(kind+"/"+policy.name, func(b *testing.B) {
				flows := []flow{floods[kind]}
				for _, plan := range []state.PlanID{"b", "c", "d", "e"} {
					flows = append(flows, flow{plan, modestShare * simCapacity, simServiceTime})
				}
				var results []*tally
				inVirtualTime(b, func() {
					results = simulate(flows, length, policy.make(flows, newDatabase(simRoundTrip)))
				})
				reportFairness(b, results, length, modestShare)
			})
		}
	}
}

func reportFairness(b *testing.B, results []*tally, length time.Duration, modestShare float64) {
	var shares []float64
	worst, served, offered := 0.0, 0, 0
	for i, result := range results {
		share := result.slotTime.Seconds() / length.Seconds() / simSlots
		if i == 0 {
			b.ReportMetric(share, "flood/capacity")
			shares = append(shares, share/(1-4*modestShare))
			continue
		}
		shares = append(shares, share/modestShare)
		worst = max(worst, quantile(result.latencies, 0.99))
		served += result.onTime
		offered += result.offered
	}
	b.ReportMetric(jainIndex(shares), "jain")
	b.ReportMetric(float64(served)/float64(offered), "others-served")
	b.ReportMetric(worst, "others-p99-ms")
	b.ReportMetric(quantile(results[0].latencies, 0.99), "flood-p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConcurrency reports, for several round trips, the goodput at a load of
// twice the capacity, and the p50 and p99 of another plan beside a flood of long
// statements.
func BenchmarkConcurrency(b *testing.B) {
	const length = 20 * time.Second
	for _, roundTrip := range []time.Duration{200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond, 24 * time.Millisecond} {
		b.Run("short/"+roundTrip.String(), func(b *testing.B) {
			flows := []flow{{"a", 2 * simCapacity, simServiceTime}}
			var result *tally
			var g *Gate
			inVirtualTime(b, func() {
				g = simGate(flows)
				g.SetRoundTrip(roundTrip)
				result = simulate(flows, length, serveThroughGate(g, newDatabase(roundTrip)))[0]
			})
			b.ReportMetric(result.slotTime.Seconds()/length.Seconds()/simSlots, "goodput/capacity")
			b.ReportMetric(float64(g.slotLimit), "limit")
			b.ReportMetric(0, "ns/op")
		})
		b.Run("long/"+roundTrip.String(), func(b *testing.B) {
			flows := []flow{{"flood", simCapacity, 20 * simServiceTime}, {"b", 0.05 * simCapacity, simServiceTime}}
			var results []*tally
			var g *Gate
			inVirtualTime(b, func() {
				g = simGate(flows)
				g.SetRoundTrip(roundTrip)
				results = simulate(flows, length, serveThroughGate(g, newDatabase(roundTrip)))
			})
			b.ReportMetric((results[0].slotTime+results[1].slotTime).Seconds()/length.Seconds()/simSlots, "goodput/capacity")
			b.ReportMetric(quantile(results[1].latencies, 0.99), "others-p99-ms")
			b.ReportMetric(quantile(results[1].latencies, 0.5), "others-p50-ms")
			b.ReportMetric(float64(g.slotLimit), "limit")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// recoverySimulation simulates an outage with callers that retry.
type recoverySimulation struct {
	outage, afterOutage time.Duration
	arrivalRate         float64
	callerTimeout       time.Duration // after which a caller stops retrying
	budget              *RetryBudget  // nil means unlimited retries
	serve               serveFunc

	pending  sync.WaitGroup // attempts
	mu       sync.Mutex
	attempts int
	// offered and served count requests by the second of their arrival.
	offered, served []int
}

// request runs one caller, which retries until it succeeds, its timeout passes or
// the retry budget is exhausted.
func (r *recoverySimulation) request(second int, service time.Duration) {
	deadline := time.Now().Add(r.callerTimeout)
	for {
		r.mu.Lock()
		r.attempts++
		r.mu.Unlock()
		retryAfter, err := r.attempt(service)
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.served[second]++
			return
		}
		if r.budget != nil && !r.budget.Take() || time.Now().After(deadline) {
			return
		}
		time.Sleep(retryAfter)
	}
}

// attempt sends the request once and waits for at most simDeadline. The server
// may go on with the request after that.
func (r *recoverySimulation) attempt(service time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	reply := make(chan error, 1)
	r.pending.Go(func() {
		defer cancel()
		reply <- r.serve(ctx, "a", service)
	})
	var err error
	select {
	case err = <-reply:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil && r.budget != nil {
		r.budget.RecordSuccess()
	}
	if failure, ok := state.AsFailure(err); ok {
		return failure.RetryAfter, err
	}
	return minRetryAfter, err
}

// run simulates one second of normal service, the outage and the time after it.
func (r *recoverySimulation) run() {
	random := rand.New(rand.NewPCG(simSeed, 1))
	began := time.Now()
	length := time.Second + r.outage + r.afterOutage
	r.offered = make([]int, int(length.Seconds())+1)
	r.served = make([]int, len(r.offered))
	var callers sync.WaitGroup
	for time.Since(began) < length {
		time.Sleep(time.Duration(random.ExpFloat64() / r.arrivalRate * float64(time.Second)))
		second := min(int(time.Since(began).Seconds()), len(r.offered)-1)
		service := time.Duration(random.ExpFloat64() * float64(simServiceTime))
		r.offered[second]++
		callers.Go(func() { r.request(second, service) })
	}
	callers.Wait()
	r.pending.Wait()
}

// recoveryTime returns the seconds from the end of the outage after which at
// least 99 % of the requests that arrive in each second are served. It is at
// most afterOutage.
func (r *recoverySimulation) recoveryTime() float64 {
	first := int((time.Second + r.outage).Seconds())
	seconds := len(r.offered) - 1 - first
	for second := len(r.offered) - 2; second >= first; second-- {
		if float64(r.served[second]) < 0.99*float64(r.offered[second]) {
			break
		}
		seconds--
	}
	return float64(seconds)
}

// BenchmarkRecovery reports the time to full service after the backend server
// was unresponsive for 60 s, at a load of half of its capacity, and the attempts
// per request. Callers stop retrying after 5 s. Only those of the policy "gate"
// have a retry budget.
func BenchmarkRecovery(b *testing.B) {
	const outage, after = 60 * time.Second, 30 * time.Second
	policies := append(servingPolicies[:len(servingPolicies):len(servingPolicies)], servingPolicies[0])
	policies[len(policies)-1].name = "gate-unlimited-retry"
	for _, policy := range policies {
		b.Run(policy.name, func(b *testing.B) {
			var r *recoverySimulation
			inVirtualTime(b, func() {
				d := newDatabase(simRoundTrip)
				d.outageStart = time.Now().Add(time.Second)
				d.outageEnd = d.outageStart.Add(outage)
				r = &recoverySimulation{
					outage: outage, afterOutage: after, arrivalRate: simCapacity / 2,
					callerTimeout: 5 * time.Second, serve: policy.make([]flow{{plan: "a"}}, d),
				}
				if policy.name == "gate" {
					r.budget = NewRetryBudget(0.1, 1, 10)
				}
				r.run()
			})
			offered := 0
			for _, n := range r.offered {
				offered += n
			}
			b.ReportMetric(r.recoveryTime(), "recovery-s")
			b.ReportMetric(float64(r.attempts)/float64(offered), "attempts/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}
