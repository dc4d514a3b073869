package capacity

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// The statements that are measured.
const (
	readSQL  = "SELECT 1"
	writeSQL = "INSERT INTO written (id, note) VALUES (1, 'a note')"
)

// statementClients is the number of clients that send statements concurrently in
// measurements that do not vary it.
const statementClients = 8

// path is a named route from a client to the database.
type path struct {
	name    string
	connect func(ctx context.Context) (*pgconn.PgConn, error)
}

// measureStatements measures statements sent directly to the stand-in, through
// an instance that owns the database, and through an entry instance that does
// not. The first is the cost of the client and the stand-in, which the other two
// include.
func measureStatements(ctx context.Context, report *Report) error {
	i, err := startInstallation(ctx, true)
	if err != nil {
		return err
	}
	defer i.close()
	paths := []path{
		{"straight to the stand-in", i.connectDirectly},
		{"through the owner", func(ctx context.Context) (*pgconn.PgConn, error) { return i.connect(ctx, i.owner) }},
		{"through an entry and the owner", func(ctx context.Context) (*pgconn.PgConn, error) { return i.connect(ctx, i.entry) }},
	}
	for _, kind := range []struct{ name, sql string }{{"read", readSQL}, {"write", writeSQL}} {
		for _, path := range paths {
			if err := i.measurePath(ctx, report, kind.name+" "+path.name, kind.sql, path); err != nil {
				return err
			}
		}
	}
	return i.measureConcurrentWrites(ctx, report, paths[1])
}

// measurePath measures the processor time and traffic of blocks of statements on
// one path.
func (i *installation) measurePath(ctx context.Context, report *Report, name, sql string, on path) error {
	processor := Series{Section: "statements", Name: name + ", client and stand-in included", Unit: "us", Per: "statements", Target: targetStatements}
	toDatabase := Series{Section: "statements", Name: name + ", owner to databases", Unit: "bytes", Per: "statements", Target: targetStatements}
	toPeer := Series{Section: "statements", Name: name + ", entry to owner", Unit: "bytes", Per: "statements", Target: targetStatements}
	clients, err := connectAll(ctx, statementClients, on)
	if err != nil {
		return err
	}
	defer closeAll(clients)
	if err := execute(ctx, clients, statementClients, sql); err != nil {
		return err
	}
	databases := i.databaseAddresses()
	for _, count := range []int{500, 1500, 4000} {
		timeBefore := processorTime()
		databaseBefore := i.owner.traffic.bytes(databases...)
		peerBefore := i.entry.traffic.bytes() - i.entry.traffic.bytes(i.platformAddress())
		if err := execute(ctx, clients, count, sql); err != nil {
			return err
		}
		size := float64(count)
		processor.Points = append(processor.Points, Point{size, microseconds(processorTime() - timeBefore)})
		toDatabase.Points = append(toDatabase.Points, Point{size, i.owner.traffic.bytes(databases...) - databaseBefore})
		toPeer.Points = append(toPeer.Points, Point{size, i.entry.traffic.bytes() - i.entry.traffic.bytes(i.platformAddress()) - peerBefore})
	}
	return addAll(report, processor, toDatabase, toPeer)
}

// platformAddress returns the host and port of the platform stand-in.
func (i *installation) platformAddress() string {
	const scheme = "http://"
	return i.platform.url[len(scheme):]
}

// measureConcurrentWrites measures the status requests and the processor time of
// each write, and the rate of writes, with a growing number of concurrent clients.
func (i *installation) measureConcurrentWrites(ctx context.Context, report *Report, through path) error {
	series := func(name, unit string) Series {
		return Series{Section: "rounds", Name: name, Unit: unit, Per: "writers at once", Target: targetConcurrentWriters}
	}
	requests := series("status requests for each write", "requests")
	processor := series("processor for each write, client and stand-in included", "us")
	rate := series("writes", "1/s")
	counter := metrics.GetOrCreateCounter(statusRequestsName)
	for _, writers := range []int{1, 8, targetConcurrentWriters} {
		clients, err := connectAll(ctx, writers, through)
		if err != nil {
			return err
		}
		const writes = 2000
		requestsBefore, timeBefore, started := counter.Get(), processorTime(), time.Now()
		err = execute(ctx, clients, writes, writeSQL)
		closeAll(clients)
		if err != nil {
			return err
		}
		size := float64(writers)
		requests.Points = append(requests.Points, Point{size, float64(counter.Get()-requestsBefore) / writes})
		processor.Points = append(processor.Points, Point{size, microseconds(processorTime()-timeBefore) / writes})
		rate.Points = append(rate.Points, Point{size, writes / time.Since(started).Seconds()})
	}
	return addAll(report, requests, processor, rate)
}

// statusRequestsName is the name of package replication's counter of status
// requests.
const statusRequestsName = `cyclamenpin_replication_requests_total{kind="status"}`

func connectAll(ctx context.Context, count int, on path) ([]*pgconn.PgConn, error) {
	clients := make([]*pgconn.PgConn, 0, count)
	for range count {
		client, err := on.connect(ctx)
		if err != nil {
			closeAll(clients)
			return nil, err
		}
		clients = append(clients, client)
	}
	return clients, nil
}

func closeAll(clients []*pgconn.PgConn) {
	for _, client := range clients {
		_ = client.Close(context.Background())
	}
}

// execute runs count statements, divided evenly among concurrent clients.
func execute(ctx context.Context, clients []*pgconn.PgConn, count int, sql string) error {
	var running errgroup.Group
	for number, client := range clients {
		share := count / len(clients)
		if number < count%len(clients) {
			share++
		}
		running.Go(func() error {
			for range share {
				if _, err := client.Exec(ctx, sql).ReadAll(); err != nil {
					return withDetail(err)
				}
			}
			return nil
		})
	}
	return running.Wait()
}

// withDetail adds the detail field of a PostgreSQL error, which states where the
// request failed.
func withDetail(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return eris.Wrap(err, pgErr.Detail)
	}
	return err
}
