package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

const (
	// heartbeat is how often a database writes its registration.
	heartbeat = 1200 * time.Millisecond
	// replacedWithin is the stated limit of a change of primary.
	replacedWithin = 15 * time.Second
	// servesFor is how long reads and writes must go on after a change.
	servesFor = 1500 * time.Millisecond
)

// inPlace is how many of oddValues, the first ones, replace the primary's row.
const inPlace = 3

// oddValues returns rows that other writers may leave. elsewhere is the address of a
// database of another id.
func oddValues(elsewhere string) []string {
	row := func(replaced, by string) string {
		good := fmt.Sprintf(`{"Backend":"g","Addr":%q,"Zone":"z","Version":"v1","Slots":3,"State":"ready","ColdLeftMs":0,"DbRole":"replica","Seq":1,"born":1770822210018}`, elsewhere)
		return strings.Replace(good, replaced, by, 1)
	}
	return []string{
		row(elsewhere, "127.0.0.1:70000"), row(`1770822210018`, `9000000000000000`), "{",
		"", "null", "7", "[]", "{}", "\xff\xfe", `"x"`,
		strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000), strings.Repeat("x", 64<<10),
		row(`"Seq"`, `"New":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,"Seq"`),
		row(`"Slots":3`, `"Slots":1e400`), row(`"Slots":3`, `"Slots":-1`), row(`"Slots":3`, `"Slots":9223372036854775807`),
		row(`1770822210018`, `1e300`), row(`1770822210018`, `"NaN"`),
		row(elsewhere, "127.0.0.1:-1"), row(elsewhere, "127.0.0.1:x"), row(elsewhere, "127.0.0.1"), row(elsewhere, ":1"),
		row(`"ready"`, `"asleep"`), row(`"replica"`, `"king"`), row(`"replica"`, `7`), row(`"Zone":"z",`, ``), row(`"g"`, `"g\r\nQUIT"`),
	}
}

// putOdd writes odd rows that begin with prefix.
func (s *system) putOdd(random *rand.Rand, prefix, elsewhere string) {
	values := oddValues(elsewhere)
	for _, n := range random.Perm(len(values)) {
		s.store.Put(platform.ServersTable, fmt.Sprintf("%s-%d", prefix, n), []byte(values[n]))
	}
}

// register writes a database's registration again, as it does each heartbeat.
func (s *system) register(database *standin.Database) {
	for n := range databases {
		if s.group.Database(n+1) == database {
			s.store.Put(platform.ServersTable, string(database.ID), database.Registration(s.addresses[n]))
		}
	}
}

// requireService requires that reads and writes go on, and that no process has ended by
// itself.
func (s *system) requireService(during string) {
	s.t.Helper()
	writes, reads := len(s.group.Commits()), len(s.group.Reads())
	time.Sleep(servesFor)
	require.Greater(s.t, len(s.group.Commits()), writes, during)
	require.Greater(s.t, len(s.group.Reads()), reads, during)
	for _, i := range s.instances {
		select {
		case <-i.exited:
			require.Fail(s.t, i.name+" ended by itself", during)
		default:
		}
	}
}

func (s *system) requireNewLeader(old *standin.Database, why string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.group.Leader() != old }, replacedWithin, 50*time.Millisecond, why)
}

// Another writer leaves odd rows among those of the databases: before the instances
// start, while they run, and in the place of the primary's.
func TestOddRegistrations(t *testing.T) {
	t.Parallel()
	seed := uint64(intFromEnvironment("SOAK_SEED", 1))
	random := rand.New(rand.NewPCG(seed, 96))
	s := prepareSystem(t)
	s.putOdd(random, "before", "127.0.0.1:1")
	s.begin(soakInstances)
	s.runUnderLoad(seed, func() {
		s.requireService("odd rows since before the start")
		s.putOdd(random, "during", s.addresses[0])
		s.requireService("odd rows while the instances run")

		primary := s.group.Leader()
		values := oddValues(s.addresses[1])
		for _, n := range random.Perm(inPlace) {
			s.store.Put(platform.ServersTable, string(primary.ID), []byte(values[n]))
			time.Sleep(heartbeat)
			s.register(primary)
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		}
		s.requireService("the primary writes its row again")
		require.Equal(t, primary, s.group.Leader())

		s.store.Put(platform.ServersTable, string(primary.ID), []byte(values[inPlace-1]))
		s.requireNewLeader(primary, "the primary's row stays odd")
		s.requireService("a new primary")
		s.register(primary)
		time.Sleep(heartbeat)

		leaving := s.group.Leader()
		leaving.Leave()
		s.requireNewLeader(leaving, "the instances follow the table")
		s.requireService("a retired primary")
	})
}
