package execution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// failedProbeLimit is how many probes in a row must fail, or report that no
// statement runs, before a connection counts as silent. A single such probe may
// be a race with a reply in transit.
const failedProbeLimit = 2

// silenceWatch detects that a backend connection has gone silent while a unit
// runs on it. While no message arrives, it probes the backend server, on a new
// connection, for whether the unit's statement still runs. When two probes in a
// row fail or find that it does not run, the watch closes the connection, which
// ends the wait for its messages.
type silenceWatch struct {
	backend Backend
	probe   ActivityProbe
	// terminate may be nil.
	terminate Terminator
	interval  time.Duration

	// awaiting is set while a message is awaited. Silence counts only then, so
	// that a caller that is slow to read its reply does not count as silence.
	awaiting atomic.Bool
	// received is set when a message arrived since the last check.
	received atomic.Bool

	// mu guards the rest. It is a leaf lock.
	mu           sync.Mutex
	timer        *time.Timer
	cancel       context.CancelFunc
	failedProbes int
	silent       bool
	stopped      bool
}

// ActivityProbe queries a backend server, on a new connection, for whether the
// connection with the given process id runs a statement.
type ActivityProbe func(ctx context.Context, processID uint32) (running bool, err error)

// Terminator makes a backend server end the connection with the given process
// id and release the locks of its transaction. It uses a new connection.
type Terminator func(ctx context.Context, processID uint32) error

// startSilenceWatch starts a watch, which does nothing if probe is nil.
func startSilenceWatch(backend Backend, probe ActivityProbe, terminate Terminator, interval time.Duration) *silenceWatch {
	w := &silenceWatch{backend: backend, probe: probe, terminate: terminate, interval: interval}
	if probe == nil {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(interval, w.check)
	return w
}

// startWaiting records that a message is awaited from now on.
func (w *silenceWatch) startWaiting() {
	w.awaiting.Store(true)
}

// messageReceived records that a message arrived.
func (w *silenceWatch) messageReceived() {
	w.awaiting.Store(false)
	w.received.Store(true)
}

// silentSinceLastCheck reports whether no message arrived since the last call
// and one is awaited now.
func (w *silenceWatch) silentSinceLastCheck() bool {
	received := w.received.Swap(false)
	return !received && w.awaiting.Load()
}

// stop ends the watch and reports whether the connection was found silent.
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

// check runs on its own goroutine after each interval.
func (w *silenceWatch) check() {
	ctx, proceed := w.beginCheck()
	if !proceed {
		return
	}
	running, err := w.probe(ctx, w.backend.PID())
	if w.endCheck(running && err == nil) && w.terminate != nil {
		ctx, cancel := context.WithTimeout(context.Background(), w.interval)
		defer cancel()
		_ = w.terminate(ctx, w.backend.PID()) // on failure the server closes the connection by itself, later
	}
}

// beginCheck reports whether a probe is needed, and returns its context.
func (w *silenceWatch) beginCheck() (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, false
	}
	if !w.silentSinceLastCheck() {
		w.failedProbes = 0
		w.timer.Reset(w.interval)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.interval)
	w.cancel = cancel
	return ctx, true
}

// endCheck processes the result of a probe. A message that arrived meanwhile
// resets the count of failed probes. It reports whether the connection was found
// silent by this probe.
func (w *silenceWatch) endCheck(running bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.cancel = nil
	if w.stopped {
		return false
	}
	if running || !w.silentSinceLastCheck() {
		w.failedProbes = 0
	} else {
		w.failedProbes++
	}
	if w.failedProbes >= failedProbeLimit {
		w.silent = true
		w.backend.Close()
		return true
	}
	w.timer.Reset(w.interval)
	return false
}

// failureReason stops the watch and returns why the connection failed.
func (w *silenceWatch) failureReason() state.Reason {
	if w.stop() {
		return state.ReasonSilent
	}
	return state.ReasonConnectionLost
}
