package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
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

// inPlace is how many of the odd rows, the first ones, replace the primary's row.
const inPlace = 3

// putOdd writes odd rows that begin with prefix.
func (s *system) putOdd(random *rand.Rand, prefix, elsewhere string) {
	values := standin.OddRegistrations(elsewhere)
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
		values := standin.OddRegistrations(s.addresses[1])
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

// peerTopics holds the first bytes of the datagrams that instances exchange.
const peerTopics = "vprlc"

// Someone sends an instance datagrams whose lengths claim four billion entries, in the
// field of a list and in one that is not known.
func TestOddDatagrams(t *testing.T) {
	t.Parallel()
	s := newSystem(t, soakInstances)
	s.runUnderLoad(1, func() {
		for _, i := range s.instances {
			conn, err := net.Dial("udp", i.peerAddress)
			require.NoError(t, err)
			for _, topic := range []byte(peerTopics) {
				for _, field := range []byte("rcx") {
					_, err := conn.Write([]byte{topic, 0x81, 0xa1, field, 0xdd, 0xff, 0xff, 0xff, 0xff})
					require.NoError(t, err)
				}
			}
			require.NoError(t, conn.Close())
		}
		s.requireService("odd datagrams")
	})
}
