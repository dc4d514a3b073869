package dev

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

// BenchmarkReadThroughProxy compares a read through an instance with the same
// read straight from a database, in one run. The ratio is that of the mean
// times.
func BenchmarkReadThroughProxy(b *testing.B) {
	for _, server := range stack.Group.Servers() {
		server.SetStatementTime(0)
		defer server.SetStatementTime(statementTime)
	}
	direct := fmt.Sprintf("postgres://operator@%s/%s", stack.Group.Servers()[0].Addr(), GroupName)
	straight := timeReads(b, direct)
	b.ReportAllocs()
	b.ResetTimer()
	proxied := timeReads(b, stack.URL(stack.Instances[0]))
	b.ReportMetric(float64(straight.Microseconds()), "direct_us")
	b.ReportMetric(float64(proxied.Microseconds()), "proxied_us")
	b.ReportMetric(float64(proxied)/float64(straight), "ratio")
}

func timeReads(b *testing.B, url string) time.Duration {
	conn, err := pgx.Connect(context.Background(), url)
	require.NoError(b, err)
	defer func() { _ = conn.Close(context.Background()) }()
	var one int
	require.NoError(b, conn.QueryRow(context.Background(), "SELECT 1").Scan(&one))
	started := time.Now()
	for range b.N {
		require.NoError(b, conn.QueryRow(context.Background(), "SELECT 1").Scan(&one))
	}
	return time.Since(started) / time.Duration(b.N)
}
