package council

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkReadThroughEntry compares a read through an entry instance with the
// same read directly from a database, in one run, as BenchmarkReadThroughProxy
// of internal/dev does for the PostgreSQL path. The ratio is that of the mean
// times. The system calls counted are the reads and writes of the whole process.
// They include those of the client and the database, which the direct figure
// gives alone.
func BenchmarkReadThroughEntry(b *testing.B) {
	options := groupOptions()
	options.ServiceTime = 0
	i := installWithOptions(b, options)
	defer i.instance.Stop(b.Context())
	direct, directCalls := i.timeReads(b, i.databases[0], "g")
	b.ReportAllocs()
	b.ResetTimer()
	proxied, proxiedCalls := i.timeReads(b, i.address, "desk")
	b.StopTimer()
	b.ReportMetric(float64(direct.Microseconds()), "direct_us")
	b.ReportMetric(float64(proxied.Microseconds()), "proxied_us")
	b.ReportMetric(float64(proxied)/float64(direct), "ratio")
	b.ReportMetric(directCalls, "direct_syscalls/op")
	b.ReportMetric(proxiedCalls, "proxied_syscalls/op")
}

func (i *installation) timeReads(b *testing.B, address, name string) (mean time.Duration, calls float64) {
	c, _ := i.connectTo(address, name)
	require.NoError(b, c.conn.SetDeadline(time.Time{}))
	c.must("READ k")
	before := systemCalls(b)
	started := time.Now()
	for range b.N {
		c.must("READ k")
	}
	took := time.Since(started)
	return took / time.Duration(b.N), float64(systemCalls(b)-before) / float64(b.N)
}

// systemCalls returns the number of read and write calls of this process so far,
// or 0 where the system doesn't report them.
func systemCalls(b *testing.B) int {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Logf("system calls are not counted: %v", err)
		return 0
	}
	var characters [2]int
	var reads, writes int
	_, err = fmt.Sscanf(string(text), "rchar: %d\nwchar: %d\nsyscr: %d\nsyscw: %d", &characters[0], &characters[1], &reads, &writes)
	require.NoError(b, err)
	return reads + writes
}
