package platformclient

import (
	"net/http"
	"time"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultResolveTimeout = 10 * time.Second
	DefaultRetryWait      = 50 * time.Millisecond
	DefaultReadsPerSecond = 2
	DefaultReadBurst      = 20
	// DefaultWritesPerSecond keeps the writes of 1,500 instances, all at their
	// limit at once, at 300 a second.
	DefaultWritesPerSecond = 0.2
	DefaultWriteBurst      = 20
)

// Options are the settings of a Client. A zero field takes its default.
type Options struct {
	// BaseURL is the platform's address, such as http://127.0.0.1:8080.
	BaseURL string
	// Timeout bounds each single call.
	Timeout time.Duration
	// ResolveTimeout bounds the time for which a write whose answer was lost
	// is repeated to learn its result.
	ResolveTimeout time.Duration
	// RetryWait is the mean wait before the first repeat of a call. Later ones
	// wait longer, up to maxRetryWaits times as long.
	RetryWait time.Duration
	// ReadsPerSecond and ReadBurst are this instance's budget of reads.
	ReadsPerSecond float64
	ReadBurst      int
	// WritesPerSecond and WriteBurst are its budget of writes. It is apart
	// from that of reads, so that polling cannot hold up a change of primary.
	WritesPerSecond float64
	WriteBurst      int
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.ResolveTimeout == 0 {
		o.ResolveTimeout = DefaultResolveTimeout
	}
	if o.RetryWait == 0 {
		o.RetryWait = DefaultRetryWait
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.ReadBurst == 0 {
		o.ReadBurst = DefaultReadBurst
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.WriteBurst == 0 {
		o.WriteBurst = DefaultWriteBurst
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return o
}

// newTransport copies the standard transport. Few idle connections are kept,
// because an instance seldom has more than one call in flight.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 2
	transport.Proxy = nil
	return transport
}
