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

// maxSilence is how long a link may receive nothing while the peer replies on no new
// connection either.
const maxSilence = 4 * time.Second

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
	checkSent    time.Time // when the check for the unanswered Ping was started; zero if none
	checkReplied time.Time // when that check was replied to; zero if it was not
	lastPing     uint64
	pingCount    uint64
	// check tries to reach the peer on a new connection and calls checkEnded. A peer
	// that does not reply there either is held up or out of reach, and its link is not
	// to blame. It is called without locks; nil if the peer can't be dialled.
	check func()
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
		p.forgetPing()
	}
	p.resetTimer()
}

// forgetPing ends the wait for the response to a Ping. The caller must hold mu.
func (p *prober) forgetPing() {
	p.pingSent, p.checkSent, p.checkReplied = time.Time{}, time.Time{}, time.Time{}
}

// checkEnded records the result of a check. A peer that refuses connections counts as
// one that replies: it has ended.
func (p *prober) checkEnded(replied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !replied || p.checkSent.IsZero() {
		return
	}
	p.checkReplied = time.Now()
	p.resetTimer()
}

// frameReceived records that a frame has arrived. Any frame counts as the
// response to an outstanding probe.
func (p *prober) frameReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastProgress = time.Now()
	if !p.pingSent.IsZero() {
		p.forgetPing()
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
		timeout := p.link.config.ProbeTimeout
		if p.check != nil && p.checkSent.IsZero() {
			return p.pingSent.Add(timeout / 2)
		}
		// A peer that was held up replies on both connections, in any order.
		return latest(p.pingSent.Add(timeout), p.checkReplied.Add(timeout/4))
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
	actionCheck
	actionFail
	actionReportIdle
)

func (p *prober) onTimer() {
	action, number := p.nextAction()
	switch action {
	case actionPing:
		probesSent.Inc()
		p.link.send(peerproto.KindPing, 0, &peerproto.Ping{Number: number})
	case actionCheck:
		p.check()
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
		p.forgetPing()
		p.lastProgress = now
		p.resetTimer()
		return actionReportIdle, 0
	}
	firedLate := now.Sub(p.timerDue) > p.link.config.ProbeTimeout/2
	if !p.pingSent.IsZero() && !firedLate {
		switch {
		case p.check != nil && p.checkSent.IsZero():
			p.checkSent = now
			p.resetTimer()
			return actionCheck, 0
		case p.check == nil || !p.checkReplied.IsZero() || now.Sub(p.lastProgress) >= maxSilence:
			return actionFail, 0
		}
	}
	// A timer that fires late indicates that this process was paused. The
	// response may already wait in the socket buffer, so the link gets another
	// probe.
	p.forgetPing()
	p.pingSent = now
	p.lastPing++
	p.pingCount++
	p.resetTimer()
	return actionPing, p.lastPing
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (p *prober) counts() (awaited, openStreams int, probes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awaited, p.openStreams, p.pingCount
}
