package today

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// The cost of the proxy is taken twice: without latency and statement time,
// where its own work shows, and with each deployment's, where a write's wait
// for a majority shows.
const (
	costClients = 32
	// costWarmUp requests of each client are not counted.
	costWarmUp = 20
	costGroup  = 0
)

// CostResult compares requests through the proxy with the same requests
// straight to the database, in one run.
type CostResult struct {
	Deployment string `json:"deployment"`
	Request    string `json:"request"`
	// DirectUS and ProxiedUS are medians of one client, in microseconds.
	DirectUS  float64 `json:"straight_us"`
	ProxiedUS float64 `json:"proxied_us"`
	Ratio     float64 `json:"ratio"`
	// The rates are of 32 clients, in requests a second; zero if not taken.
	DirectRate  float64 `json:"straight_rate,omitempty"`
	ProxiedRate float64 `json:"proxied_rate,omitempty"`
	// ExtraAllocations is by request, what the proxy adds to client and
	// stand-in.
	ExtraAllocations float64 `json:"extra_allocations,omitempty"`
}

// AddedMS is the latency that the proxy adds.
func (r CostResult) AddedMS() float64 {
	return (r.ProxiedUS - r.DirectUS) / 1000
}

// request is one statement of the measure.
type request struct {
	name string
	run  func(ctx context.Context, conn *pgx.Conn) error
}

func requests() []request {
	return []request{
		{"read", func(ctx context.Context, conn *pgx.Conn) error {
			_, err := getNote(ctx, conn, 1)
			return err
		}},
		{"write", func(ctx context.Context, conn *pgx.Conn) error {
			return putNote(ctx, conn, lastRow.Add(1), 1)
		}},
	}
}

// withoutLatency is a deployment of which only the proxy's own work is left.
func withoutLatency() Deployment {
	return Deployment{
		Name: "no latency", DataCentres: [3]state.DataCentre{"first", "second", "third"},
		MaxConnections: 2 * (costClients + 2),
	}
}

// measureCost takes latencies, and for the deployment without latency also
// rates and allocations.
func measureCost(ctx context.Context, deployment Deployment, duration time.Duration) ([]CostResult, error) {
	bare := deployment.bare()
	options := installationOptions{deployment: deployment, plans: 1, statementTime: readStatement, lag: failoverLag}
	if bare {
		options.statementTime, options.lag = 0, 0
	}
	in, err := startInstallation(ctx, options)
	if err != nil {
		return nil, err
	}
	defer in.close()
	var results []CostResult
	for _, request := range requests() {
		result, err := in.compare(ctx, request, duration, bare)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func (in *installation) compare(ctx context.Context, request request, duration time.Duration, rates bool) (CostResult, error) {
	straight := func() (*pgx.Conn, error) {
		return in.connectStraight(ctx, in.sites[0], in.primary(costGroup))
	}
	proxied := func() (*pgx.Conn, error) { return in.connect(ctx, 0, 0, costGroup) }
	result := CostResult{Deployment: in.deployment.Name, Request: request.name}
	one, err := drive(ctx, 1, straight, request, duration)
	if err != nil {
		return result, err
	}
	through, err := drive(ctx, 1, proxied, request, duration)
	if err != nil {
		return result, err
	}
	result.DirectUS, result.ProxiedUS = microseconds(one.median), microseconds(through.median)
	result.Ratio = result.ProxiedUS / result.DirectUS
	result.ExtraAllocations = through.allocations - one.allocations
	if !rates {
		result.ExtraAllocations = 0
		return result, nil
	}
	if one, err = drive(ctx, costClients, straight, request, duration); err != nil {
		return result, err
	}
	if through, err = drive(ctx, costClients, proxied, request, duration); err != nil {
		return result, err
	}
	result.DirectRate, result.ProxiedRate = one.rate, through.rate
	return result, nil
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}

// driven is what a number of clients got.
type driven struct {
	median      time.Duration
	rate        float64
	allocations float64 // of the whole process, by request
}

// drive lets clients send one request after the other for a time.
func drive(ctx context.Context, clients int, open func() (*pgx.Conn, error), request request, duration time.Duration) (driven, error) {
	conns := make([]*pgx.Conn, 0, clients)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(ctx)
		}
	}()
	for range clients {
		conn, err := open()
		if err != nil {
			return driven{}, err
		}
		conns = append(conns, conn)
		for range costWarmUp {
			if err := request.run(ctx, conn); err != nil {
				return driven{}, eris.Wrap(err, "warm up")
			}
		}
	}
	var mu sync.Mutex
	var all []time.Duration
	var failure atomic.Pointer[error]
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var running sync.WaitGroup
	began := time.Now()
	for _, conn := range conns {
		running.Go(func() {
			took, err := repeat(ctx, conn, request, duration)
			if err != nil {
				failure.Store(&err)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took...)
		})
	}
	running.Wait()
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	if err := failure.Load(); err != nil {
		return driven{}, *err
	}
	count := float64(len(all))
	return driven{
		median: median(all), rate: count / elapsed.Seconds(), allocations: float64(after.Mallocs-before.Mallocs) / count,
	}, nil
}

func repeat(ctx context.Context, conn *pgx.Conn, request request, duration time.Duration) ([]time.Duration, error) {
	var took []time.Duration
	for end := time.Now().Add(duration); time.Now().Before(end); {
		began := time.Now()
		if err := request.run(ctx, conn); err != nil {
			return nil, err
		}
		took = append(took, time.Since(began))
	}
	return took, nil
}
