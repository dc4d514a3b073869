package peerlink

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var owner = state.Instance{ID: "owner", Incarnation: 3, DataCentre: "dc1", PeerAddress: "owner:1"}

// pair is a client and a server on an in-memory network.
type pair struct {
	network  *network
	executor *fakeExecutor
	client   *Client
	server   *Server
	served   chan error
}

func testConfig(self state.Instance) Config {
	ring, err := peerproto.NewKeyRing([]byte("a key shared by the test's peers"))
	if err != nil {
		panic(err)
	}
	return Config{Self: self, Keys: ring}
}

func newPair() *pair {
	p := &pair{network: newNetwork(), executor: newFakeExecutor(), served: make(chan error, 1)}
	p.startServer(owner)
	config := testConfig(state.Instance{ID: "entry", Incarnation: 1})
	config.Dial = p.network.dial
	p.client = NewClient(config)
	return p
}

func (p *pair) startServer(self state.Instance) {
	p.server = NewServer(testConfig(self), p.executor)
	listener := p.network.listen(self.PeerAddress)
	server := p.server
	go func() { p.served <- server.Serve(listener) }()
}

func (p *pair) close() {
	p.network.unfreeze()
	p.client.Close()
	p.server.Close()
	<-p.served
}

// outcome is what the caller of one unit received.
type outcome struct {
	name    string
	reply   [][]byte
	failure *state.Failure
	// cancelled is set if Cancel was called while the unit ran.
	cancelled, ended bool
}

// runUnit runs one unit to its end. It cancels the unit after cancelAfter
// unless that is zero.
func runUnit(
	stream execution.Stream, name string, timeout, cancelAfter time.Duration, prepare ...execution.PreparedStatement,
) *outcome {
	result := &outcome{name: name}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	if err := stream.Send(ctx, execution.Unit{Messages: []byte(name), Prepare: prepare}); err != nil {
		result.failure, _ = state.AsFailure(err)
		return result
	}
	if cancelAfter > 0 {
		var mu sync.Mutex
		timer := time.AfterFunc(cancelAfter, func() {
			mu.Lock()
			defer mu.Unlock()
			if !result.ended {
				result.cancelled = true
				_ = stream.Cancel(ctx)
			}
		})
		defer timer.Stop()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			result.ended = true
		}()
	}
	for {
		event, err := stream.Receive(ctx)
		if err != nil {
			result.failure, _ = state.AsFailure(err)
			return result
		}
		result.reply = append(result.reply, event.Messages)
		if event.Done {
			return result
		}
	}
}

// caller is one client of the property test, with drawn parameters.
type caller struct {
	start, timeout, cancelAfter time.Duration
	units                       []int // number of events in the reply to each unit
	unitBytes                   int
}

func drawMillis(t *rapid.T, label string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
}

func (c caller) run(p *pair, number int, report func(*outcome)) {
	time.Sleep(c.start)
	ctx, stop := context.WithTimeout(context.Background(), c.timeout)
	defer stop()
	stream, err := p.client.Open(ctx, owner, execution.OpenRequest{})
	if err != nil {
		failure, _ := state.AsFailure(err)
		report(&outcome{failure: failure, name: fmt.Sprintf("%d/open", number)})
		return
	}
	defer stream.Close()
	large := execution.PreparedStatement{Message: make([]byte, c.unitBytes)}
	for unit, events := range c.units {
		name := fmt.Sprintf("%d/%d/%s", number, unit, strings.Repeat("e", events))
		result := runUnit(stream, name, c.timeout, c.cancelAfter, large)
		report(result)
		if result.failure != nil {
			return
		}
	}
}

func TestEveryCallerGetsCompleteReplyOrCorrectFailure(t *testing.T) {
	seen := make(map[string]int) // how often each kind of outcome occurred
	check := func(t *rapid.T) {
		p := newPair()
		p.executor.delay = drawMillis(t, "pause", 20)
		p.executor.eventBytes = rapid.SampledFrom([]int{10, 5_000, 70_000, 300_000}).Draw(t, "event bytes")
		var callers []caller
		for range rapid.IntRange(1, 6).Draw(t, "callers") {
			callers = append(callers, caller{
				start: drawMillis(t, "start", 1_000), timeout: 1 + drawMillis(t, "timeout", 4_000),
				cancelAfter: drawMillis(t, "cancel", 30),
				units:       rapid.SliceOfN(rapid.IntRange(1, 6), 1, 4).Draw(t, "units"),
				unitBytes:   rapid.SampledFrom([]int{0, 2 * halfConnBytes}).Draw(t, "unit bytes"),
			})
		}
		var mu sync.Mutex
		var outcomes []*outcome
		var running sync.WaitGroup
		for number, one := range callers {
			running.Go(func() {
				one.run(p, number, func(o *outcome) {
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, o)
				})
			})
		}
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			time.Sleep(drawMillis(t, "until fault", 600))
			switch rapid.SampledFrom([]string{"cut", "freeze", "short freeze", "restart"}).Draw(t, "fault") {
			case "cut":
				p.network.breakConnections()
			case "freeze":
				p.network.freeze()
			case "short freeze":
				p.network.freeze()
				time.Sleep(drawMillis(t, "frozen", 400))
				p.network.unfreeze()
			case "restart":
				p.server.Close()
				<-p.served
				p.startServer(owner)
			}
		}
		running.Wait()
		p.network.unfreeze() // data still in transit is delivered now
		time.Sleep(time.Minute)
		p.close()
		checkOutcomes(t, p.executor, outcomes, seen)
	}
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ rapid.TB }{t}, check) })
	t.Log(seen)
	require.NotZero(t, seen["done"])
	require.NotZero(t, seen["unknown"])
}

func checkOutcomes(t *rapid.T, executor *fakeExecutor, outcomes []*outcome, seen map[string]int) {
	reported := make(map[string]*outcome)
	for _, o := range outcomes {
		reported[o.name] = o
		if strings.HasSuffix(o.name, "/open") {
			require.Equal(t, state.OutcomeNotRun, o.failure.Outcome)
			continue
		}
		if o.failure != nil {
			if o.failure.Outcome == state.OutcomeNotRun {
				require.Zero(t, executor.executed[o.name], "%s was reported as not run: %v", o.name, o.failure)
			}
			continue
		}
		require.Equal(t, 1, executor.executed[o.name])
		require.Len(t, o.reply, eventCount(o.name))
		for _, messages := range o.reply {
			require.Equal(t, eventMessages(o.name, executor.eventBytes), messages)
		}
	}
	for name, times := range executor.executed {
		require.Equal(t, 1, times, name)
		require.NotNil(t, reported[name], "%s ran and no outcome was reported", name)
	}
	for name := range executor.cancelled {
		require.True(t, reported[name].cancelled, "%s was cancelled in place of another", name)
	}
	for _, o := range outcomes {
		switch {
		case strings.HasSuffix(o.name, "/open"):
			seen["open refused"]++
		case o.failure == nil:
			seen["done"]++
		default:
			seen[o.failure.Outcome.String()]++
		}
	}
	require.Zero(t, executor.open, "streams left open on the backend")
}

func withPair(t *testing.T, run func(t *testing.T, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		defer p.close()
		run(t, p)
	})
}

func openStream(t *testing.T, p *pair) execution.Stream {
	stream, err := p.client.Open(t.Context(), owner, execution.OpenRequest{})
	require.NoError(t, err)
	return stream
}

func TestSilentLinkIsDetectedInTimeAndReplaced(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		p.executor.delay = 100 * time.Millisecond
		stream := openStream(t, p)
		start := time.Now()
		p.network.freeze()
		result := runUnit(stream, "u/e", time.Hour, 0)
		require.Equal(t, state.OutcomeUnknown, result.failure.Outcome)
		require.Equal(t, state.ReasonSilent, result.failure.Reason)
		require.LessOrEqual(t, time.Since(start), DefaultProbeAfter+DefaultProbeTimeout)
		again := openStream(t, p)
		require.Nil(t, runUnit(again, "v/e", time.Hour, 0).failure)
		again.Close()
		require.Equal(t, 2, p.network.dials())
	})
}

// A peer's process gets no processor for longer than a probe may take. It replies on no
// connection, so its silence says nothing about the link, and its statements go on.
func TestPeerThatIsHeldUpKeepsItsLink(t *testing.T) {
	for _, pause := range []time.Duration{1600 * time.Millisecond, 2100 * time.Millisecond, 3 * time.Second} {
		withPair(t, func(t *testing.T, p *pair) {
			p.executor.delay = 100 * time.Millisecond
			stream := openStream(t, p)
			p.network.holdUp()
			time.AfterFunc(pause, p.network.resume)
			require.Nil(t, runUnit(stream, "u/e", time.Hour, 0).failure)
			require.Nil(t, runUnit(stream, "v/e", time.Hour, 0).failure)
			stream.Close()
			time.Sleep(spareLifetime + DefaultHandshakeTimeout)
			require.Len(t, p.client.Snapshot().Links, 1)
			require.Len(t, p.server.Snapshot().Links, 1, "connections of checks are closed")
		})
	}
}

// A peer that is out of reach for good must not keep its callers for ever.
func TestLinkToUnreachablePeerFails(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		stream := openStream(t, p)
		start := time.Now()
		p.network.holdUp()
		require.Equal(t, state.ReasonSilent, runUnit(stream, "u/e", time.Hour, 0).failure.Reason)
		require.LessOrEqual(t, time.Since(start), maxSilence+DefaultProbeTimeout)
	})
}

// Units that are queued while the writer is blocked are withdrawn, both when
// their caller times out and when the link ends. They must not run afterwards.
func TestWithdrawnUnitsAreNotRunAfterTheLinkResumes(t *testing.T) {
	for _, timeout := range []time.Duration{100 * time.Millisecond, time.Hour} {
		withPair(t, func(t *testing.T, p *pair) {
			const callers = 6
			var streams []execution.Stream
			for range callers {
				streams = append(streams, openStream(t, p))
			}
			p.network.freeze()
			outcomes := make(chan *outcome, callers)
			for number, stream := range streams {
				large := execution.PreparedStatement{Message: make([]byte, 4*halfConnBytes)}
				go func() { outcomes <- runUnit(stream, fmt.Sprint(number, "/e"), timeout, 0, large) }()
			}
			reported := make(map[state.Outcome]int)
			var all []*outcome
			for range callers {
				result := <-outcomes
				all = append(all, result)
				reported[result.failure.Outcome]++
			}
			require.NotZero(t, reported[state.OutcomeNotRun])
			require.NotZero(t, reported[state.OutcomeUnknown])
			p.network.unfreeze()
			time.Sleep(time.Minute)
			for _, result := range all {
				var times int
				p.executor.withLock(func() { times = p.executor.executed[result.name] })
				if result.failure.Outcome == state.OutcomeNotRun {
					require.Zero(t, times, result.name)
				}
			}
			mostBytesRead := 0
			p.network.each(func(w *halfConn) { mostBytesRead = max(mostBytesRead, w.bytesRead) })
			require.Greater(t, mostBytesRead, 4*halfConnBytes, "a unit that was given up on must arrive late")
		})
	}
}

func TestSlowReplyDoesNotFailTheLink(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		p.executor.delay = time.Minute
		stream := openStream(t, p)
		require.Nil(t, runUnit(stream, "u/e", time.Hour, 0).failure)
		require.Equal(t, 1, p.network.dials())
		stream.Close()
	})
}

func TestIdleLinkSendsNothingAndIsClosedAfterTimeout(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		openStream(t, p).Close()
		time.Sleep(time.Second)
		before := p.client.Snapshot().Links[0]
		time.Sleep(DefaultIdleTimeout - 2*time.Second)
		require.Equal(t, before, p.client.Snapshot().Links[0])
		time.Sleep(time.Minute)
		require.Empty(t, p.client.Snapshot().Links)
		require.Empty(t, p.server.Snapshot().Links)
	})
}

func TestStreamsOfUnresponsivePeerAreClosed(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		stream := openStream(t, p)
		require.Nil(t, runUnit(stream, "u/e", time.Hour, 0).failure)
		p.network.freeze() // the stream may hold a transaction; no unit runs
		time.Sleep(DefaultOpenStreamProbeAfter + DefaultProbeTimeout + time.Millisecond)
		p.executor.withLock(func() { require.Zero(t, p.executor.open) })
		stream.Close()
	})
}

func TestSlowReaderSlowsOnlyItselfWithinBoundedMemory(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		const eventBytes, events = 16 << 10, 100
		p.executor.eventBytes = eventBytes
		slow, fast := openStream(t, p), openStream(t, p)
		defer slow.Close()
		defer fast.Close()
		name := "slow/" + strings.Repeat("e", events)
		require.NoError(t, slow.Send(t.Context(), execution.Unit{Messages: []byte(name)}))
		time.Sleep(time.Minute)
		p.executor.withLock(func() { require.LessOrEqual(t, p.executor.sent, peerproto.InitialWindow/eventBytes+1) })
		result := runUnit(fast, "fast/"+strings.Repeat("e", events), time.Second, 0)
		require.Nil(t, result.failure)
		for i := range events {
			event, err := slow.Receive(t.Context())
			require.NoError(t, err)
			require.Equal(t, i == events-1, event.Done)
		}
	})
}

func TestLateCancelDoesNotAffectLaterUnit(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		p.executor.delay = time.Second
		stream := openStream(t, p).(*clientStream)
		defer stream.Close()
		require.Nil(t, runUnit(stream, "first/e", time.Hour, 0).failure)
		time.AfterFunc(time.Millisecond, func() {
			stream.link.send(peerproto.KindCancel, stream.id, &peerproto.Cancel{Number: 1})
		})
		require.Nil(t, runUnit(stream, "second/eee", time.Hour, 0).failure)
		p.executor.withLock(func() { require.Empty(t, p.executor.cancelled) })
	})
}

func TestUnitAboveFrameLimitIsNotRunAndKeepsStreamUsable(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		stream := openStream(t, p)
		defer stream.Close()
		err := stream.Send(t.Context(), execution.Unit{Messages: make([]byte, peerproto.DefaultMaxFrame)})
		var size *peerproto.FrameSizeError
		require.ErrorAs(t, err, &size)
		require.Nil(t, runUnit(stream, "u/e", time.Second, 0).failure)
	})
}

func TestShutdownWaitsForUnitsInProgress(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		p.executor.delay = time.Second
		stream := openStream(t, p)
		done := make(chan error, 1)
		result := make(chan *outcome, 1)
		go func() { result <- runUnit(stream, "u/eee", time.Hour, 0) }()
		time.Sleep(time.Millisecond)
		go func() { done <- p.server.Shutdown(context.Background()) }()
		time.Sleep(time.Millisecond)
		_, err := p.client.Open(t.Context(), owner, execution.OpenRequest{})
		failure, _ := state.AsFailure(err)
		require.Equal(t, state.ReasonLeaving, failure.Reason)
		require.Equal(t, state.OutcomeNotRun, failure.Outcome)
		require.Nil(t, (<-result).failure)
		stream.Close()
		require.NoError(t, <-done)
	})
}

func TestCallOutcomes(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		var response string
		require.NoError(t, p.client.Call(t.Context(), owner, "m", "one", &response))
		require.Equal(t, "entrymone", response)
		p.executor.delay = time.Second
		ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		failure, _ := state.AsFailure(p.client.Call(ctx, owner, "m", "two", nil))
		require.Equal(t, state.OutcomeUnknown, failure.Outcome)
		earlier := owner
		earlier.Incarnation--
		failure, _ = state.AsFailure(p.client.Call(t.Context(), earlier, "m", "three", nil))
		require.Equal(t, state.OutcomeNotRun, failure.Outcome)
		var identity *peerproto.IdentityError
		require.ErrorAs(t, failure, &identity)
	})
}

func TestLaterIncarnationEndsTheEarlierOnesLinks(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		stream := openStream(t, p)
		config := testConfig(state.Instance{ID: "entry", Incarnation: 2})
		config.Dial = p.network.dial
		later := NewClient(config)
		defer later.Close()
		require.NoError(t, later.Call(t.Context(), owner, "m", "x", nil))
		time.Sleep(time.Millisecond)
		require.NotNil(t, runUnit(stream, "u/e", time.Second, 0).failure)
		_, err := p.client.Open(t.Context(), owner, execution.OpenRequest{})
		var refused *peerproto.RefusedError
		require.ErrorAs(t, err, &refused)
	})
}

func TestLoopbackWithTLS(t *testing.T) {
	secured := httptest.NewTLSServer(nil)
	defer secured.Close()
	config := testConfig(owner)
	config.ServerTLS = &tls.Config{Certificates: secured.TLS.Certificates, MinVersion: tls.VersionTLS13}
	server := NewServer(config, newFakeExecutor())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	config = testConfig(state.Instance{ID: "entry", Incarnation: 1})
	config.ClientTLS = secured.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	config.ClientTLS.ServerName = "example.com"
	client := NewClient(config)
	peer := owner
	peer.PeerAddress = listener.Addr().String()
	stream, err := client.Open(t.Context(), peer, execution.OpenRequest{})
	require.NoError(t, err)
	require.Nil(t, runUnit(stream, "u/eee", time.Minute, 0).failure)
	stream.Close()
	client.Close()
	require.NoError(t, server.Shutdown(t.Context()))
	require.NoError(t, <-served)
}

func TestOutboxTakesTurnsAndKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		box := newOutbox()
		queued := make(map[uint64][]*outgoing)
		waited := make(map[uint64]int) // frames of other streams taken while one waits
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := rapid.Uint64Range(0, 4).Draw(t, "stream")
			switch rapid.SampledFrom([]string{"put", "put", "take", "withdraw"}).Draw(t, "step") {
			case "put":
				frame := &outgoing{stream: id, encoded: []byte{1}}
				require.True(t, box.put(frame))
				queued[id] = append(queued[id], frame)
			case "take":
				frame := box.take()
				if frame == nil {
					for _, frames := range queued {
						require.Empty(t, frames)
					}
					continue
				}
				require.Same(t, queued[frame.stream][0], frame)
				queued[frame.stream] = queued[frame.stream][1:]
				waited[frame.stream] = 0
				for other, frames := range queued {
					if frame.stream != 0 && other != 0 && other != frame.stream && len(frames) > 0 {
						waited[other]++
						require.LessOrEqual(t, waited[other], 4, "stream %d starved", other)
					}
				}
			case "withdraw":
				if id == 0 || len(queued[id]) == 0 {
					continue
				}
				require.True(t, box.withdraw(queued[id][0]))
				queued[id] = queued[id][1:]
				if len(queued[id]) == 0 {
					waited[id] = 0
				}
			}
		}
	})
}

// The peer ends a link whose ids do not increase, and with it all streams.
// Concurrent opens that queue their frames out of order would cause that.
func TestConcurrentOpensReachPeerInIDOrder(t *testing.T) {
	p := newPair()
	defer p.close()
	const callers, opensEach = 16, 300
	var running sync.WaitGroup
	failures := make(chan error, callers)
	for range callers {
		running.Go(func() {
			for range opensEach {
				stream, err := p.client.Open(context.Background(), owner, execution.OpenRequest{})
				if err != nil {
					failures <- err
					return
				}
				stream.Close()
			}
		})
	}
	running.Wait()
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
	require.Equal(t, 1, p.network.dials())
}

// The server accepts only increasing ids, so the first frames of streams and
// calls must be queued in the order of their ids.
func TestConcurrentOpensAndCallsShareOneLink(t *testing.T) {
	withPair(t, func(t *testing.T, p *pair) {
		const callers, rounds = 32, 50
		require.NoError(t, p.client.Call(t.Context(), owner, "m", "first", nil))
		var running errgroup.Group
		for range callers {
			running.Go(func() error {
				for range rounds {
					stream, err := p.client.Open(t.Context(), owner, execution.OpenRequest{})
					if err != nil {
						return err
					}
					stream.Close()
					if err := p.client.Call(t.Context(), owner, "m", "again", nil); err != nil {
						return err
					}
				}
				return nil
			})
		}
		require.NoError(t, running.Wait())
		require.Equal(t, 1, p.network.dials())
	})
}
