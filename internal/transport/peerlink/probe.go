package peerlink

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
)

// activity is how urgently the silence of a link matters.
type activity uint8

const (
	idle   activity = iota // nothing depends on the link
	held                   // streams are open, nothing is in flight
	flight                 // an answer is awaited
)

// prober watches one link for silence. It has no goroutine of its own: one
// timer runs while the link carries something, and for the idle timeout.
type prober struct {
	link *link

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	flights  int
	holds    int
	progress time.Time // last frame received, or start of the present activity
	probed   time.Time // when the unanswered Ping was sent; zero if none
	deadline time.Time // when timer fires
	number   uint64
	probes   uint64
	// onIdle is called without locks when the link carried nothing for the
	// idle timeout; nil where idle links are kept.
	onIdle func()
}

func newProber(l *link) *prober {
	return &prober{link: l}
}

func (p *prober) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.progress = time.Now()
	p.timer = time.AfterFunc(time.Hour, p.fire)
	p.arm()
}

func (p *prober) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// add changes the numbers of answers awaited and of streams held.
func (p *prober) add(flights, holds int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.activity()
	p.flights += flights
	p.holds += holds
	if p.activity() == before {
		return
	}
	if p.activity() > before || p.activity() == idle {
		p.progress = time.Now()
		p.probed = time.Time{}
	}
	p.arm()
}

// received notes that a frame arrived, which answers any probe.
func (p *prober) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progress = time.Now()
	if !p.probed.IsZero() {
		p.probed = time.Time{}
		p.arm()
	}
}

func (p *prober) activity() activity {
	switch {
	case p.flights > 0:
		return flight
	case p.holds > 0:
		return held
	default:
		return idle
	}
}

// arm sets the timer for what is due next. Called with mu held.
func (p *prober) arm() {
	if p.stopped || p.timer == nil {
		return
	}
	p.deadline = p.due()
	p.timer.Reset(time.Until(p.deadline))
}

// due is when the link has to be probed or given up. Called with mu held.
func (p *prober) due() time.Time {
	if !p.probed.IsZero() {
		return p.probed.Add(p.link.config.ProbeTimeout)
	}
	switch p.activity() {
	case flight:
		return p.progress.Add(p.link.config.ProbeAfter)
	case held:
		return p.progress.Add(p.link.config.OpenStreamProbeAfter)
	default:
		return p.progress.Add(p.link.config.IdleTimeout)
	}
}

// verdict is what a fired timer calls for.
type verdict uint8

const (
	wait verdict = iota
	ping
	silent
	unused
)

func (p *prober) fire() {
	decision, number := p.decide()
	switch decision {
	case ping:
		probesSent.Inc()
		p.link.send(peerproto.KindPing, 0, &peerproto.Ping{Number: number})
	case silent:
		silentLinks.Inc()
		p.link.fail(errSilent)
	case unused:
		if p.onIdle != nil {
			p.onIdle()
		}
	}
}

func (p *prober) decide() (verdict, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return wait, 0
	}
	now := time.Now()
	if now.Before(p.due()) {
		p.arm()
		return wait, 0
	}
	if p.activity() == idle {
		p.probed = time.Time{}
		p.progress = now
		p.arm()
		return unused, 0
	}
	overslept := now.Sub(p.deadline) > p.link.config.ProbeTimeout/2
	if !p.probed.IsZero() && !overslept {
		return silent, 0
	}
	// A timer that fires late means that this process was paused: an answer
	// may wait in the socket, so the link gets a new probe.
	p.probed = now
	p.number++
	p.probes++
	p.arm()
	return ping, p.number
}

func (p *prober) counts() (flights, holds int, probes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flights, p.holds, p.probes
}
