package dev

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

// BenchmarkReadThroughProxy measures in one run a read through an instance and
// the same read directly from a database. The reported ratio is the mean time
// through the proxy divided by the mean direct time.
func BenchmarkReadThroughProxy(b *testing.B) {
	for _, server := range stack.Group.Servers() {
		server.SetStatementTime(0)
		defer server.SetStatementTime(statementTime)
	}
	directURL := fmt.Sprintf("postgres://operator@%s/%s", stack.Group.Servers()[0].Addr(), GroupName)
	directTime := timeReads(b, directURL)
	b.ReportAllocs()
	b.ResetTimer()
	proxiedTime := timeReads(b, stack.URL(stack.Instances[0]))
	b.ReportMetric(float64(directTime.Microseconds()), "direct_us")
	b.ReportMetric(float64(proxiedTime.Microseconds()), "proxied_us")
	b.ReportMetric(float64(proxiedTime)/float64(directTime), "ratio")
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
