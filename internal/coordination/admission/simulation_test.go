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

// The simulated backend server: 3 slots of 5 ms statements, so 600 a second,
// and 10 connections, at one millisecond from its owner and back.
const (
	simSlots       = 3
	simConnections = 10
	simService     = 5 * time.Millisecond
	simRoundTrip   = time.Millisecond
	simCapacity    = float64(simSlots) / 0.005 // statements a second
	simDeadline    = 500 * time.Millisecond
	simQueue       = 400 * time.Millisecond
	simProgress    = 2 * time.Second // after which a silent statement is given up
	simSeed        = 20261203
)

var errSilent = errors.New("backend server is silent")

// inVirtualTime runs a simulation of a benchmark in virtual time.
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
// silent between two times.
type database struct {
	slots          chan struct{}
	roundTrip      time.Duration
	silentFrom, up time.Time
}

func newDatabase(roundTrip time.Duration) *database {
	return &database{slots: make(chan struct{}, simSlots), roundTrip: roundTrip}
}

func (d *database) run(service time.Duration) error {
	if silent := time.Until(d.up); silent > 0 && !time.Now().Before(d.silentFrom) {
		time.Sleep(min(silent, simProgress))
		return errSilent
	}
	time.Sleep(d.roundTrip / 2)
	d.slots <- struct{}{}
	time.Sleep(service)
	<-d.slots
	time.Sleep(d.roundTrip / 2)
	return nil
}

// server serves one request or refuses it.
type server func(ctx context.Context, plan state.PlanID, service time.Duration) error

// gated serves through a Gate.
func gated(g *Gate, d *database) server {
	return func(ctx context.Context, plan state.PlanID, service time.Duration) error {
		began := time.Now()
		lease, err := g.AcquireConnection(ctx, plan, simQueue)
		if err != nil {
			return err
		}
		defer lease.Release()
		slot, err := g.AcquireSlot(ctx, plan, false, simQueue-time.Since(began))
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

// fifo serves in the order of arrival and never refuses. With drop it passes
// over requests whose caller has gone by the time a connection is free.
func fifo(d *database, drop bool) server {
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

// flow is one plan's stream of requests that arrive at random.
type flow struct {
	plan    state.PlanID
	rate    float64 // requests a second
	service time.Duration
}

// tally counts what became of a flow's requests.
type tally struct {
	pending   sync.WaitGroup
	mu        sync.Mutex
	offered   int
	good      int // answered within simDeadline
	slotTime  time.Duration
	latencies []time.Duration // of the good ones
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
		t.good++
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

// offer sends a flow's requests for a while. Callers stop waiting at
// simDeadline; what then becomes of the request is the server's affair.
func offer(f flow, length time.Duration, serve server, seed uint64, result *tally) {
	random := rand.New(rand.NewPCG(simSeed, seed))
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / f.rate * float64(time.Second)))
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

// simulate offers all flows at once and returns their tallies. Answers that
// come after length do not count.
func simulate(flows []flow, length time.Duration, serve server) []*tally {
	tallies := make([]*tally, len(flows))
	var sources sync.WaitGroup
	for i, f := range flows {
		tallies[i] = &tally{}
		sources.Go(func() { offer(f, length, serve, uint64(i), tallies[i]) })
	}
	sources.Wait()
	frozen := make([]*tally, len(flows))
	for i, t := range tallies {
		t.mu.Lock()
		frozen[i] = &tally{
			offered: t.offered, good: t.good, slotTime: t.slotTime, late: t.late,
			latencies: slices.Clone(t.latencies), refusals: slices.Clone(t.refusals),
		}
		t.mu.Unlock()
	}
	for _, t := range tallies {
		t.pending.Wait()
	}
	return frozen
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

// servers are the policies that benchmarks compare.
var servers = []struct {
	name string
	make func([]flow, *database) server
}{
	{"gate", func(flows []flow, d *database) server { return gated(simGate(flows), d) }},
	{"fifo", func(_ []flow, d *database) server { return fifo(d, false) }},
	{"fifo-drop", func(_ []flow, d *database) server { return fifo(d, true) }},
}

// BenchmarkGoodput reports the share of the backend server's capacity that
// goes into answers within the deadline, at 1 to 10 times its capacity.
func BenchmarkGoodput(b *testing.B) {
	const length = 10 * time.Second
	for _, load := range []struct {
		name  string
		times float64
	}{{"1x", 1}, {"2x", 2}, {"5x", 5}, {"10x", 10}} {
		for _, policy := range servers {
			b.Run(load.name+"/"+policy.name, func(b *testing.B) {
				flows := []flow{{"a", load.times * simCapacity, simService}}
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

// jain returns Jain's index of fairness: 1 if all values are equal.
func jain(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(values)) * squares)
}

// BenchmarkFairness lets one plan flood while four others ask for 15 % of the
// capacity each, which is below their fair share. The flood is entitled to the
// 40 % that they leave. Shares are of slot time.
func BenchmarkFairness(b *testing.B) {
	const length = 10 * time.Second
	const modestShare = 0.15
	floods := map[string]flow{
		"short": {"flood", 10 * simCapacity, simService},
		"long":  {"flood", simCapacity, 20 * simService},
	}
	for _, kind := range []string{"short", "long"} {
		for _, policy := range servers {
			b.Run(kind+"/"+policy.name, func(b *testing.B) {
				flows := []flow{floods[kind]}
				for _, plan := range []state.PlanID{"b", "c", "d", "e"} {
					flows = append(flows, flow{plan, modestShare * simCapacity, simService})
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
		served += result.good
		offered += result.offered
	}
	b.ReportMetric(jain(shares), "jain")
	b.ReportMetric(float64(served)/float64(offered), "others-served")
	b.ReportMetric(worst, "others-p99-ms")
	b.ReportMetric(quantile(results[0].latencies, 0.99), "flood-p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConcurrency reports the goodput at twice the capacity, and the
// others' p99 beside a flood of long statements, by round trip.
func BenchmarkConcurrency(b *testing.B) {
	const length = 20 * time.Second
	for _, roundTrip := range []time.Duration{200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond, 24 * time.Millisecond} {
		b.Run("short/"+roundTrip.String(), func(b *testing.B) {
			flows := []flow{{"a", 2 * simCapacity, simService}}
			var result *tally
			var g *Gate
			inVirtualTime(b, func() {
				g = simGate(flows)
				g.SetRoundTrip(roundTrip)
				result = simulate(flows, length, gated(g, newDatabase(roundTrip)))[0]
			})
			b.ReportMetric(result.slotTime.Seconds()/length.Seconds()/simSlots, "goodput/capacity")
			b.ReportMetric(float64(g.slotLimit), "limit")
			b.ReportMetric(0, "ns/op")
		})
		b.Run("long/"+roundTrip.String(), func(b *testing.B) {
			flows := []flow{{"flood", simCapacity, 20 * simService}, {"b", 0.05 * simCapacity, simService}}
			var results []*tally
			var g *Gate
			inVirtualTime(b, func() {
				g = simGate(flows)
				g.SetRoundTrip(roundTrip)
				results = simulate(flows, length, gated(g, newDatabase(roundTrip)))
			})
			b.ReportMetric((results[0].slotTime+results[1].slotTime).Seconds()/length.Seconds()/simSlots, "goodput/capacity")
			b.ReportMetric(quantile(results[1].latencies, 0.99), "others-p99-ms")
			b.ReportMetric(quantile(results[1].latencies, 0.5), "others-p50-ms")
			b.ReportMetric(float64(g.slotLimit), "limit")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// recovery is the simulation of an outage with callers that come back.
type recovery struct {
	outage, after time.Duration
	rate          float64
	patience      time.Duration // after which a caller gives up
	budget        *RetryBudget  // nil retries without bound
	serve         server

	pending  sync.WaitGroup // attempts
	mu       sync.Mutex
	attempts int
	// offered and served count the requests by the second of their arrival.
	offered, served []int
}

// request is one caller: it tries until it is served or gives up.
func (r *recovery) request(second int, service time.Duration) {
	giveUp := time.Now().Add(r.patience)
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
		if r.budget != nil && !r.budget.Take() || time.Now().After(giveUp) {
			return
		}
		time.Sleep(retryAfter)
	}
}

// attempt sends the request once and waits for at most simDeadline. What the
// server does with it afterwards goes on.
func (r *recovery) attempt(service time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	answer := make(chan error, 1)
	r.pending.Go(func() {
		defer cancel()
		answer <- r.serve(ctx, "a", service)
	})
	var err error
	select {
	case err = <-answer:
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

// run plays a second of service, the outage, and the time after it.
func (r *recovery) run() {
	random := rand.New(rand.NewPCG(simSeed, 1))
	began := time.Now()
	length := time.Second + r.outage + r.after
	r.offered = make([]int, int(length.Seconds())+1)
	r.served = make([]int, len(r.offered))
	var callers sync.WaitGroup
	for time.Since(began) < length {
		time.Sleep(time.Duration(random.ExpFloat64() / r.rate * float64(time.Second)))
		second := min(int(time.Since(began).Seconds()), len(r.offered)-1)
		service := time.Duration(random.ExpFloat64() * float64(simService))
		r.offered[second]++
		callers.Go(func() { r.request(second, service) })
	}
	callers.Wait()
	r.pending.Wait()
}

// recovered returns the seconds from the end of the outage after which 99 % of
// the requests that arrive in each second are served. It is bounded by after.
func (r *recovery) recovered() float64 {
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
// was silent for 60 s, at half of its capacity, and the attempts made for each
// request. Callers give up after 5 s. Only those of "gate" keep to a budget.
func BenchmarkRecovery(b *testing.B) {
	const outage, after = 60 * time.Second, 30 * time.Second
	policies := append(servers[:len(servers):len(servers)], servers[0])
	policies[len(policies)-1].name = "gate-unlimited-retry"
	for _, policy := range policies {
		b.Run(policy.name, func(b *testing.B) {
			var r *recovery
			inVirtualTime(b, func() {
				d := newDatabase(simRoundTrip)
				d.silentFrom = time.Now().Add(time.Second)
				d.up = d.silentFrom.Add(outage)
				r = &recovery{
					outage: outage, after: after, rate: simCapacity / 2,
					patience: 5 * time.Second, serve: policy.make([]flow{{plan: "a"}}, d),
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
			b.ReportMetric(r.recovered(), "recovery-s")
			b.ReportMetric(float64(r.attempts)/float64(offered), "attempts/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}
