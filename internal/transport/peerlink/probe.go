package peerlink

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
)

// activity is how far a link is in use, which decides how soon it is probed
// when nothing arrives.
type activity uint8

const (
	idle             activity = iota // no streams or calls
	streamsOpen                      // streams are open, but no response is awaited
	awaitingResponse                 // a response is awaited
)

// prober detects that a link receives nothing any more, and that it is unused.
// It has no goroutine of its own, only one timer that is always set to the next
// deadline.
type prober struct {
	link *link

	mu           sync.Mutex
	timer        *time.Timer
	stopped      bool
	awaited      int
	openStreams  int
	lastProgress time.Time // last frame received, or last change to a higher activity or to idle
	pingSent     time.Time // when the unanswered Ping was sent; zero if none
	timerDue     time.Time // when timer fires
	lastPing     uint64
	pingCount    uint64
	// onIdle is called without locks when the link has been unused for the idle
	// timeout; nil if unused links are kept.
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
	p.lastProgress = time.Now()
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	p.resetTimer()
}

func (p *prober) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// add adds to the numbers of responses awaited and of open streams.
func (p *prober) add(awaited, openStreams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.activity()
	p.awaited += awaited
	p.openStreams += openStreams
	if p.activity() == before {
		return
	}
	if p.activity() > before || p.activity() == idle {
		p.lastProgress = time.Now()
		p.pingSent = time.Time{}
	}
	p.resetTimer()
}

// frameReceived records that a frame has arrived. Any frame counts as the
// response to an outstanding probe.
func (p *prober) frameReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastProgress = time.Now()
	if !p.pingSent.IsZero() {
		p.pingSent = time.Time{}
		p.resetTimer()
	}
}

func (p *prober) activity() activity {
	switch {
	case p.awaited > 0:
		return awaitingResponse
	case p.openStreams > 0:
		return streamsOpen
	default:
		return idle
	}
}

// resetTimer sets the timer to the next deadline. The caller must hold mu.
func (p *prober) resetTimer() {
	if p.stopped || p.timer == nil {
		return
	}
	p.timerDue = p.nextDeadline()
	p.timer.Reset(time.Until(p.timerDue))
}

// nextDeadline returns when the link has to be probed, failed or reported as
// idle. The caller must hold mu.
func (p *prober) nextDeadline() time.Time {
	if !p.pingSent.IsZero() {
		return p.pingSent.Add(p.link.config.ProbeTimeout)
	}
	switch p.activity() {
	case awaitingResponse:
		return p.lastProgress.Add(p.link.config.ProbeAfter)
	case streamsOpen:
		return p.lastProgress.Add(p.link.config.OpenStreamProbeAfter)
	default:
		return p.lastProgress.Add(p.link.config.IdleTimeout)
	}
}

// timerAction is what has to be done when the timer has fired.
type timerAction uint8

const (
	actionNone timerAction = iota
	actionPing
	actionFail
	actionReportIdle
)

func (p *prober) onTimer() {
	action, number := p.nextAction()
	switch action {
	case actionPing:
		probesSent.Inc()
		p.link.send(peerproto.KindPing, 0, &peerproto.Ping{Number: number})
	case actionFail:
		silentLinks.Inc()
		p.link.fail(errSilent)
	case actionReportIdle:
		if p.onIdle != nil {
			p.onIdle()
		}
	}
}

func (p *prober) nextAction() (timerAction, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return actionNone, 0
	}
	now := time.Now()
	if now.Before(p.nextDeadline()) {
		p.resetTimer()
		return actionNone, 0
	}
	if p.activity() == idle {
		p.pingSent = time.Time{}
		p.lastProgress = now
		p.resetTimer()
		return actionReportIdle, 0
	}
	firedLate := now.Sub(p.timerDue) > p.link.config.ProbeTimeout/2
	if !p.pingSent.IsZero() && !firedLate {
		return actionFail, 0
	}
	// A timer that fires late indicates that this process was paused. The
	// response may already wait in the socket buffer, so the link gets another
	// probe.
	p.pingSent = now
	p.lastPing++
	p.pingCount++
	p.resetTimer()
	return actionPing, p.lastPing
}

func (p *prober) counts() (awaited, openStreams int, probes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awaited, p.openStreams, p.pingCount
}
