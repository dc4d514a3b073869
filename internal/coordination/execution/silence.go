package execution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// silentProbes is how many probes in a row must find fault with a connection
// before it counts as silent. One may race with an answer on its way.
const silentProbes = 2

// silenceWatch notices that a backend connection has gone silent while a unit
// runs on it. While no message comes it asks the backend server, on a new
// connection, whether the unit's statement still runs there. When the server
// says no, or gives no answer, twice in a row, the watch closes the
// connection, which ends the wait for its messages.
type silenceWatch struct {
	backend Backend
	probe   ActivityProbe
	// terminate may be nil.
	terminate Terminator
	interval  time.Duration

	// awaiting is set while a message is awaited: silence counts only then.
	// A caller that is slow to take its answer is no silence.
	awaiting atomic.Bool
	// moved is set when a message came since the last look.
	moved atomic.Bool

	// mu guards the rest. It is a leaf lock.
	mu      sync.Mutex
	timer   *time.Timer
	cancel  context.CancelFunc
	suspect int
	silent  bool
	stopped bool
}

// ActivityProbe asks a backend server, on a new connection, whether the
// connection with the given process id runs a statement.
type ActivityProbe func(ctx context.Context, processID uint32) (running bool, err error)

// Terminator asks a backend server, on a new connection, to end the connection
// with the given process id and to free what its transaction has locked.
type Terminator func(ctx context.Context, processID uint32) error

// startSilenceWatch begins to watch; it does nothing where probe is nil.
func startSilenceWatch(backend Backend, probe ActivityProbe, terminate Terminator, interval time.Duration) *silenceWatch {
	w := &silenceWatch{backend: backend, probe: probe, terminate: terminate, interval: interval}
	if probe == nil {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(interval, w.look)
	return w
}

// await notes that a message is awaited from now on.
func (w *silenceWatch) await() {
	w.awaiting.Store(true)
}

// progress notes that a message came.
func (w *silenceWatch) progress() {
	w.awaiting.Store(false)
	w.moved.Store(true)
}

// quiet reports whether a message was awaited all the time since the last call.
func (w *silenceWatch) quiet() bool {
	moved := w.moved.Swap(false)
	return !moved && w.awaiting.Load()
}

// stop ends the watch. It reports whether the connection was found silent.
func (w *silenceWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.cancel != nil {
		w.cancel()
	}
	return w.silent
}

// look runs on its own goroutine each interval.
func (w *silenceWatch) look() {
	ctx, proceed := w.beginLook()
	if !proceed {
		return
	}
	running, err := w.probe(ctx, w.backend.PID())
	if w.endLook(running && err == nil) && w.terminate != nil {
		ctx, cancel := context.WithTimeout(context.Background(), w.interval)
		defer cancel()
		_ = w.terminate(ctx, w.backend.PID()) // else the server gives it up by itself, later
	}
}

// beginLook reports whether a probe is called for.
func (w *silenceWatch) beginLook() (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, false
	}
	if !w.quiet() {
		w.suspect = 0
		w.timer.Reset(w.interval)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.interval)
	w.cancel = cancel
	return ctx, true
}

// endLook takes the result of a probe. A message that came meanwhile clears
// the connection. It reports whether the connection was found silent now.
func (w *silenceWatch) endLook(running bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.cancel = nil
	if w.stopped {
		return false
	}
	if running || !w.quiet() {
		w.suspect = 0
	} else {
		w.suspect++
	}
	if w.suspect >= silentProbes {
		w.silent = true
		w.backend.Close()
		return true
	}
	w.timer.Reset(w.interval)
	return false
}

// reasonOf says why the connection failed.
func (w *silenceWatch) reasonOf() state.Reason {
	if w.stop() {
		return state.ReasonSilent
	}
	return state.ReasonConnectionLost
}
