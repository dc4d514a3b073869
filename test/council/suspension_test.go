package council

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// suspendedClock is the clock of a process that can be suspended where its engine reads
// the time. Meanwhile no time passes for its other goroutines.
type suspendedClock struct {
	state.Clock

	mu sync.Mutex
	// stoppedAt is the reading while the process is suspended, otherwise 0.
	stoppedAt state.Instant
	// atNext is for how long the engine's next reading is held up by a suspension.
	atNext time.Duration
}

// Now implements state.Clock.
func (c *suspendedClock) Now() state.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stoppedAt != 0 {
		return c.stoppedAt
	}
	return c.Clock.Now()
}

// engineView is the clock as the engine reads it.
type engineView struct{ *suspendedClock }

// Now implements state.Clock.
func (v engineView) Now() state.Instant {
	v.mu.Lock()
	suspension := v.atNext
	if suspension > 0 {
		v.stoppedAt, v.atNext = v.Clock.Now(), 0
	}
	v.mu.Unlock()
	if suspension > 0 {
		time.Sleep(suspension)
		v.mu.Lock()
		v.stoppedAt = 0
		v.mu.Unlock()
	}
	return v.suspendedClock.Now()
}

// suspendAtNextReading suspends the process at the engine's next reading.
func (c *suspendedClock) suspendAtNextReading(suspension time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atNext = suspension
}

// Guards against a position that counts from a time after the check of the lease: the
// process is suspended in between, and a superseded primary replies when it wakes.
func TestPositionIsCountedFromBeforeTheCheckOfTheLease(t *testing.T) {
	begin := func(c *client) { c.do(state.StatementBegin, "BEGIN") }
	read := func(c *client) { c.read("k") }
	for name, test := range map[string]struct{ before, suspended func(c *client) }{
		"single":                   {func(*client) {}, read},
		"first of a transaction":   {begin, read},
		"the end of a transaction": {func(c *client) { begin(c); read(c) }, func(c *client) { c.do(state.StatementCommit, "COMMIT") }},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &suspendedClock{}
			prepare := func(tc *testCluster) {
				tc.statementTimeout = longTimeout
				tc.clock = func(name string, steady state.Clock) state.Clock {
					if name != "d" {
						return steady
					}
					clock.Clock = steady
					return clock
				}
			}
			runPrepared(t, groupOptions(), fourInstances, testLog, prepare, func(tc *testCluster) {
				time.Sleep(25 * time.Second)
				d := tc.newestRun("d")
				require.True(tc.t, d.reads())
				tc.isolateWithPrimary()
				for _, name := range []string{"a", "b", "c"} {
					go tc.keepWriting(tc.ctx, name)
				}
				c := d.open("desk")
				defer c.session.Close()
				test.before(c)
				clock.suspendAtNextReading(longTimeout - time.Second)
				test.suspended(c)
				require.NotEqual(tc.t, tc.group.Database(1), tc.group.Leader())
				d.requireProvenPosition()
			})
		})
	}
}

// requireProvenPosition checks that the position which reads of an instance must cover
// covers each commit that was acknowledged until a moment ago.
func (i *instance) requireProvenPosition() {
	const moment = 100 * time.Millisecond
	now := virtualClock{i.cluster.started}.Now()
	position, known := i.positions.MinPosition("g", now.Add(-moment))
	if !known {
		return
	}
	lost := i.cluster.group.RolledBack()
	for _, commit := range i.cluster.group.Commits() {
		if time.Since(commit.At) > moment && !lost[commit.Position] {
			require.True(i.cluster.t, position.Covers(commit.Position), "%v lacks %v", position, commit.Position)
		}
	}
}
