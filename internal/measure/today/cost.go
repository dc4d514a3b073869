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

// The cost of the proxy is measured without network latency and statement
// time, to show its own work, and with those of each deployment, to show how
// long a write waits for a majority.
const (
	costClients = 32
	// costWarmUp is the number of uncounted warm-up requests of each client.
	costWarmUp = 20
	costGroup  = 0
)

// CostResult compares requests through the proxy with the same requests
// sent directly to the database, in one run.
type CostResult struct {
	Deployment string `json:"deployment"`
	Request    string `json:"request"`
	// DirectUS and ProxiedUS are median latencies with one client, in
	// microseconds.
	DirectUS  float64 `json:"straight_us"`
	ProxiedUS float64 `json:"proxied_us"`
	Ratio     float64 `json:"ratio"`
	// DirectRate and ProxiedRate are the rates with 32 clients, in requests a
	// second; zero if not measured.
	DirectRate  float64 `json:"straight_rate,omitempty"`
	ProxiedRate float64 `json:"proxied_rate,omitempty"`
	// ExtraAllocations is the number of heap allocations per request that the
	// proxy adds to those of the client and the stand-in.
	ExtraAllocations float64 `json:"extra_allocations,omitempty"`
}

// AddedMS returns the median latency that the proxy adds, in milliseconds.
func (r CostResult) AddedMS() float64 {
	return (r.ProxiedUS - r.DirectUS) / 1000
}

// request is one kind of request whose cost is measured.
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
			return putNote(ctx, conn, lastRowID.Add(1), 1)
		}},
	}
}

// noLatencyDeployment returns a deployment without network latency, which shows
// the proxy's own work.
func noLatencyDeployment() Deployment {
	return Deployment{
		Name: "no latency", DataCentres: [3]state.DataCentre{"first", "second", "third"},
		MaxConnections: 2 * (costClients + 2),
	}
}

// measureCost measures latencies and, for the deployment without latency, also
// rates and allocations.
func measureCost(ctx context.Context, deployment Deployment, duration time.Duration) ([]CostResult, error) {
	noLatency := deployment.hasNoLatency()
	options := installationOptions{deployment: deployment, plans: 1, statementTime: readStatementTime, lag: defaultLag}
	if noLatency {
		options.statementTime, options.lag = 0, 0
	}
	in, err := startInstallation(ctx, options)
	if err != nil {
		return nil, err
	}
	defer in.close()
	var results []CostResult
	for _, request := range requests() {
		result, err := in.compare(ctx, request, duration, noLatency)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func (in *installation) compare(ctx context.Context, request request, duration time.Duration, withRates bool) (CostResult, error) {
	connectDirect := func() (*pgx.Conn, error) {
		return in.connectDirect(ctx, in.sites[0], in.primary(costGroup))
	}
	connectProxied := func() (*pgx.Conn, error) { return in.connect(ctx, 0, 0, costGroup) }
	result := CostResult{Deployment: in.deployment.Name, Request: request.name}
	direct, err := runClients(ctx, 1, connectDirect, request, duration)
	if err != nil {
		return result, err
	}
	proxied, err := runClients(ctx, 1, connectProxied, request, duration)
	if err != nil {
		return result, err
	}
	result.DirectUS, result.ProxiedUS = microseconds(direct.median), microseconds(proxied.median)
	result.Ratio = result.ProxiedUS / result.DirectUS
	result.ExtraAllocations = proxied.allocations - direct.allocations
	if !withRates {
		result.ExtraAllocations = 0
		return result, nil
	}
	if direct, err = runClients(ctx, costClients, connectDirect, request, duration); err != nil {
		return result, err
	}
	if proxied, err = runClients(ctx, costClients, connectProxied, request, duration); err != nil {
		return result, err
	}
	result.DirectRate, result.ProxiedRate = direct.rate, proxied.rate
	return result, nil
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}

// clientStats summarises the requests of a number of clients.
type clientStats struct {
	median      time.Duration
	rate        float64
	allocations float64 // of the whole process, per request
}

// runClients opens a connection for each client, warms it up, and lets every
// client send one request after another for a duration.
func runClients(ctx context.Context, clients int, open func() (*pgx.Conn, error), request request, duration time.Duration) (clientStats, error) {
	conns := make([]*pgx.Conn, 0, clients)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(ctx)
		}
	}()
	for range clients {
		conn, err := open()
		if err != nil {
			return clientStats{}, err
		}
		conns = append(conns, conn)
		for range costWarmUp {
			if err := request.run(ctx, conn); err != nil {
				return clientStats{}, eris.Wrap(err, "send warm-up request")
			}
		}
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var failure atomic.Pointer[error]
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var running sync.WaitGroup
	began := time.Now()
	for _, conn := range conns {
		running.Go(func() {
			took, err := sampleLatencies(ctx, conn, request, duration)
			if err != nil {
				failure.Store(&err)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, took...)
		})
	}
	running.Wait()
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	if err := failure.Load(); err != nil {
		return clientStats{}, *err
	}
	count := float64(len(latencies))
	return clientStats{
		median: median(latencies), rate: count / elapsed.Seconds(), allocations: float64(after.Mallocs-before.Mallocs) / count,
	}, nil
}

func sampleLatencies(ctx context.Context, conn *pgx.Conn, request request, duration time.Duration) ([]time.Duration, error) {
	var latencies []time.Duration
	for end := time.Now().Add(duration); time.Now().Before(end); {
		began := time.Now()
		if err := request.run(ctx, conn); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(began))
	}
	return latencies, nil
}
