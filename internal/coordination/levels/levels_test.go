package levels

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	mayAct       = 20 * time.Second
	readInterval = 4 * time.Second
	renewal      = 2 * time.Second
)

// fleet is a store of rows and the instances that write them.
type fleet struct {
	began     time.Time
	instances map[state.InstanceID]*member
	rows      map[state.InstanceID]row
	// read holds the rows as last read, lost the instances known before the store was
	// restored that have no row since.
	read     map[state.InstanceID]row
	readAt   time.Duration
	lost     map[state.InstanceID]bool
	unlisted bool
}

// member is an instance that renews its row while it is live, and may act for mayAct
// after that.
type member struct {
	level     Level
	live      bool
	actsUntil time.Duration
}

type row struct {
	level   Level
	written time.Duration
}

func (f *fleet) Now() state.Instant { return state.Instant(f.now()) + 1 }
func (f *fleet) now() time.Duration { return time.Since(f.began) }

func (f *fleet) start(name state.InstanceID, level Level) {
	f.instances[name] = &member{level: level, live: true}
	f.renew()
}

func (f *fleet) renew() {
	for name, m := range f.instances {
		if m.live {
			m.actsUntil = f.now() + mayAct
			f.rows[name] = row{m.level, f.now()}
		}
	}
}

func (f *fleet) list() {
	f.read, f.readAt, f.unlisted = make(map[state.InstanceID]row), f.now(), false
	for name, of := range f.rows {
		f.read[name] = of
		delete(f.lost, name)
	}
}

// restore loses all rows. The rows read before name those that may act.
func (f *fleet) restore() {
	for name := range f.read {
		f.lost[name] = true
	}
	f.rows, f.unlisted = make(map[state.InstanceID]row), true
}

func (f *fleet) Standing(within time.Duration) (leadership.Standing, bool) {
	standing := leadership.Standing{Self: "self", Latest: f.now(), ReadAt: f.readAt, ReadInterval: readInterval, RowsLost: len(f.lost) > 0}
	for name, of := range f.read {
		if f.readAt-of.written <= within {
			standing.Instances = append(standing.Instances, leadership.InstanceRow{Name: name, Level: of.level})
		}
	}
	return standing, !f.unlisted
}

// unsafe returns an instance that might have acted when the rows were read and is of a
// lower level than the one in use.
func (f *fleet) unsafe(inUse Level) state.InstanceID {
	for name, m := range f.instances {
		started := f.rows[name].written < f.readAt && f.rows[name] != row{} || f.lost[name]
		if started && m.actsUntil > f.readAt && m.level < inUse {
			return name
		}
	}
	return ""
}

// Instances of two builds start, end, restart as the other build, and their rows are
// lost with the store.
func TestLevelInUseIsThatOfAllWhoMayAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			f := &fleet{began: time.Now(), instances: map[state.InstanceID]*member{}, rows: map[state.InstanceID]row{}, lost: map[state.InstanceID]bool{}}
			gate := NewGate(f, mayAct, f, zerolog.Nop())
			names := []state.InstanceID{"self", "a", "b", "c"}
			for _, name := range names {
				f.start(name, Newest)
			}
			for range rapid.IntRange(20, 160).Draw(rt, "steps") {
				name := rapid.SampledFrom(names[1:]).Draw(rt, "instance")
				switch rapid.IntRange(0, 30).Draw(rt, "event") {
				case 0:
					f.start(name, Level(rapid.IntRange(int(Unstated), int(Newest)).Draw(rt, "level")))
				case 1:
					f.instances[name].live = false
				case 2:
					f.restore()
				}
				time.Sleep(updateInterval)
				if f.now()%renewal == 0 {
					f.renew()
				}
				if f.now()%readInterval == 0 {
					f.list()
				}
				gate.Update()
				if found := f.unsafe(gate.InUse()); found != "" {
					rt.Fatalf("a level is in use while %s of a lower one may act", found)
				}
			}
		})
	})
}

// The last instance of an earlier build stops, and its replacement, of the earlier build
// too, has not written its row yet.
func TestLevelIsNotRaisedWhileAnInstanceIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{began: time.Now(), instances: map[state.InstanceID]*member{}, rows: map[state.InstanceID]row{}, lost: map[state.InstanceID]bool{}}
		gate := NewGate(f, mayAct, f, zerolog.Nop())
		pass := func(during time.Duration) {
			for range during / updateInterval {
				time.Sleep(updateInterval)
				f.renew()
				f.list()
				gate.Update()
			}
		}
		f.start("self", Newest)
		f.start("a", Unstated)
		pass(10 * time.Second)
		require.Equal(t, Unstated, gate.InUse())
		delete(f.rows, "a")
		delete(f.instances, "a")
		pass(3 * time.Second)
		require.Equal(t, Unstated, gate.InUse())
		f.start("a", Unstated)
		pass(10 * time.Second)
		require.Equal(t, Unstated, gate.InUse())
		f.start("a", Newest)
		pass(10 * time.Second)
		require.Equal(t, Newest, gate.InUse())
		// The rows can't be read any more.
		time.Sleep(maxRowsAge*readInterval + time.Second)
		gate.Update()
		require.Equal(t, Unstated, gate.InUse())
	})
}
