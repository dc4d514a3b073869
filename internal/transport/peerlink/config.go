package peerlink

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Defaults of Config.
const (
	DefaultProbeAfter           = 500 * time.Millisecond
	DefaultProbeTimeout         = time.Second
	DefaultOpenStreamProbeAfter = 5 * time.Second
	DefaultHandshakeTimeout     = 3 * time.Second
	DefaultIdleTimeout          = 5 * time.Minute
	DefaultCallWorkers          = 32
	DefaultCallQueue            = 1024
	DefaultMaxStreams           = 10_000
	DefaultDialBackoff          = 100 * time.Millisecond
	DefaultMaxDialBackoff       = 3 * time.Second
)

// maxQueuedBytes bounds the frames that wait to be written on one link. A peer
// that lets more accumulate is not reading, and its link is closed.
const maxQueuedBytes = 64 << 20

// Evidence receives reports of what links observe about peers. Its methods must
// not block.
type Evidence interface {
	ReportSuccess(id state.InstanceID, incarnation state.Incarnation)
	ReportFailure(id state.InstanceID, incarnation state.Incarnation, err error)
	ReportLeaving(id state.InstanceID, incarnation state.Incarnation)
}

type noEvidence struct{}

// ReportSuccess ignores the report, as do the other methods.
func (noEvidence) ReportSuccess(state.InstanceID, state.Incarnation) {}

// ReportFailure ignores the report.
func (noEvidence) ReportFailure(state.InstanceID, state.Incarnation, error) {}

// ReportLeaving ignores the report.
func (noEvidence) ReportLeaving(state.InstanceID, state.Incarnation) {}

// Config configures a Client or a Server. Zero durations and numbers stand for
// the defaults above.
type Config struct {
	// Self, Keys and Versions are this instance's part of the handshake.
	Self     state.Instance
	Keys     *peerproto.KeyRing
	Versions peerproto.VersionRange
	// ClientTLS and ServerTLS, when set, encrypt the links.
	ClientTLS *tls.Config
	ServerTLS *tls.Config
	// MaxFrame bounds the body of a frame, in bytes.
	MaxFrame int
	// ProbeAfter is how long a link on which a response to a unit, open or call
	// is awaited may receive nothing before it is probed.
	ProbeAfter time.Duration
	// OpenStreamProbeAfter is the same for a link that has open streams and
	// awaits no response.
	OpenStreamProbeAfter time.Duration
	// ProbeTimeout is how long a link may receive nothing after a probe before
	// it fails as silent.
	ProbeTimeout     time.Duration
	HandshakeTimeout time.Duration
	// IdleTimeout is how long a dialled link may be unused before it is closed.
	IdleTimeout time.Duration
	// CallWorkers is the number of goroutines with which a Server runs calls,
	// and CallQueue the number of calls that may wait for one of them.
	CallWorkers int
	CallQueue   int
	// MaxStreams bounds the open streams of a Server over all its links.
	MaxStreams int
	// Dial connects to a peer's address. The default dials TCP with keepalive.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialBackoff is the pause after a first failed dial. It doubles with each
	// further failure, up to MaxDialBackoff; jitter shortens it by up to half.
	DialBackoff    time.Duration
	MaxDialBackoff time.Duration
	// Evidence, when set, receives reports of what links observe about their
	// peers.
	Evidence Evidence
	Logger   zerolog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.Versions, peerproto.SupportedVersions())
	setDefault(&c.MaxFrame, peerproto.DefaultMaxFrame)
	setDefault(&c.ProbeAfter, DefaultProbeAfter)
	setDefault(&c.OpenStreamProbeAfter, DefaultOpenStreamProbeAfter)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.CallWorkers, DefaultCallWorkers)
	setDefault(&c.CallQueue, DefaultCallQueue)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.DialBackoff, DefaultDialBackoff)
	setDefault(&c.MaxDialBackoff, DefaultMaxDialBackoff)
	setDefault[Evidence](&c.Evidence, noEvidence{})
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) party() peerproto.Party {
	identity := peerproto.Identity{
		ID: c.Self.ID, Incarnation: c.Self.Incarnation, DataCentre: c.Self.DataCentre,
	}
	return peerproto.Party{Identity: identity, Versions: c.Versions, Keys: c.Keys}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true}}
	return dialer.DialContext(ctx, "tcp", address)
}

// peerName returns the name of a peer in failures and logs.
func peerName(id state.InstanceID, address string) string {
	return string(id) + "@" + address
}
