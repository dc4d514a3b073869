package platformclient

import (
	"cmp"
	"net/http"
	"time"
)

// Defaults of Options.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultResolveTimeout  = 10 * time.Second
	DefaultRetryWait       = 50 * time.Millisecond
	DefaultReadsPerSecond  = 20
	DefaultReadBurst       = 20
	DefaultWritesPerSecond = 10
	DefaultWriteBurst      = 20
)

// Total request rates of all instances, divided by Client.DivideBudget.
const (
	totalReadsPerSecond  = 1000
	totalWritesPerSecond = 300
)

// Options are the settings of a Client. A zero field takes its default.
type Options struct {
	// BaseURL is the platform's address, such as http://127.0.0.1:8080.
	BaseURL string
	// Timeout bounds each single call.
	Timeout time.Duration
	// ResolveTimeout bounds the time for which a write whose response was lost
	// is repeated to obtain its result.
	ResolveTimeout time.Duration
	// RetryWait is the mean wait before the first repeat of a call. The waits
	// before later repeats grow up to maxRetryWaitFactor times RetryWait.
	RetryWait time.Duration
	// ReadsPerSecond and ReadBurst are this instance's budget for reads.
	ReadsPerSecond float64
	ReadBurst      int
	// WritesPerSecond and WriteBurst are its budget for writes. It is separate
	// from that for reads, so that polling cannot delay a change of primary.
	WritesPerSecond float64
	WriteBurst      int
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.ResolveTimeout = cmp.Or(o.ResolveTimeout, DefaultResolveTimeout)
	o.RetryWait = cmp.Or(o.RetryWait, DefaultRetryWait)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.ReadBurst = cmp.Or(o.ReadBurst, DefaultReadBurst)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.WriteBurst = cmp.Or(o.WriteBurst, DefaultWriteBurst)
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return o
}

// newTransport returns a copy of the standard transport without a proxy. It
// keeps at most 2 idle connections, because an instance seldom has more than
// one call in flight.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 2
	transport.Proxy = nil
	return transport
}
