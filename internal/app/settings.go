package app

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Settings holds all settings of an instance. They do not change while it runs.
type Settings struct {
	InstanceID state.InstanceID
	DataCentre state.DataCentre

	ClientListen string // host:port for PostgreSQL clients
	PeerListen   string // host:port for other instances
	// PeerAdvertise is the host:port at which peers reach this instance. If
	// empty, it is the address that PeerListen resolves to.
	PeerAdvertise string
	AdminListen   string // host:port for operators, metrics and health
	// AdminToken is the operators' credential. It may be empty only if
	// AdminListen is a loopback address.
	AdminToken string

	PlatformURL string
	// PeerKeys are the shared keys of peer links. The first is used to sign, and
	// signatures with any of them are accepted.
	PeerKeys []string
	// Seeds are the initial peers, as id=data-centre=host:port. They are used
	// until the platform's list has been read.
	Seeds []string

	// ClientTLS encrypts the connections of clients that request it.
	ClientTLS TLSFiles
	// PeerTLS encrypts the links between instances. PeerTLSAuthority is the PEM
	// file with the certificate authorities that peers' certificates are checked
	// against.
	PeerTLS          TLSFiles
	PeerTLSAuthority string

	BackendUser     string
	BackendPassword string

	MaxClients        int
	QueueTimeout      time.Duration
	PrimaryWait       time.Duration
	IdleInTransaction time.Duration
	// DrainTimeout is the maximum duration of a graceful stop.
	DrainTimeout time.Duration
	LogLevel     string
}

// minPeerKeyBytes is the minimum length of a peer key.
const minPeerKeyBytes = 16

// SettingsError lists all invalid settings.
type SettingsError struct {
	Problems []string
}

// Error returns the problems, one per line.
func (e *SettingsError) Error() string {
	return "settings:\n  " + strings.Join(e.Problems, "\n  ")
}

// Validate checks all settings together. The error is a *SettingsError.
func (s Settings) Validate() error {
	var v validation
	v.notEmpty("instance-id", string(s.InstanceID))
	v.notEmpty("data-centre", string(s.DataCentre))
	v.address("listen", s.ClientListen)
	v.address("peer-listen", s.PeerListen)
	v.address("admin-listen", s.AdminListen)
	if s.PeerAdvertise != "" {
		v.address("peer-advertise", s.PeerAdvertise)
	}
	v.url("platform", s.PlatformURL)
	v.peerKeys(s.PeerKeys)
	v.tlsFiles("client-tls", s.ClientTLS)
	v.tlsFiles("peer-tls", s.PeerTLS)
	if s.PeerTLS.Enabled() != (s.PeerTLSAuthority != "") {
		v.add("peer-tls-authority", "goes together with peer-tls-cert")
	}
	v.notEmpty("backend-user", s.BackendUser)
	v.positive("max-clients", int64(s.MaxClients))
	v.positive("queue-timeout", int64(s.QueueTimeout))
	v.positive("primary-wait", int64(s.PrimaryWait))
	v.positive("idle-in-transaction", int64(s.IdleInTransaction))
	v.positive("drain-timeout", int64(s.DrainTimeout))
	if s.AdminToken == "" && !isLoopback(s.AdminListen) {
		v.add("admin-token", "is needed when admin-listen is not a loopback address")
	}
	if _, err := s.SeedInstances(); err != nil {
		v.add("seeds", err.Error())
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		v.add("log-level", "want trace, debug, info, warn or error")
	}
	return v.err()
}

// SeedInstances parses Seeds.
func (s Settings) SeedInstances() ([]state.Instance, error) {
	var instances []state.Instance
	for _, seed := range s.Seeds {
		parts := strings.Split(seed, "=")
		if len(parts) != 3 {
			return nil, fmt.Errorf("%q: want id=data-centre=host:port", seed)
		}
		if _, _, err := net.SplitHostPort(parts[2]); err != nil {
			return nil, fmt.Errorf("%q: %w", seed, err)
		}
		instances = append(instances, state.Instance{
			ID: state.InstanceID(parts[0]), DataCentre: state.DataCentre(parts[1]), PeerAddress: parts[2],
		})
	}
	return instances, nil
}

// isLoopback reports whether an address is reachable from this machine only.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// validation collects the problems found in the settings.
type validation struct {
	problems []string
}

func (v *validation) add(setting, problem string) {
	v.problems = append(v.problems, "--"+setting+": "+problem)
}

func (v *validation) notEmpty(setting, value string) {
	if value == "" {
		v.add(setting, "is missing")
	}
}

func (v *validation) address(setting, value string) {
	if value == "" {
		v.add(setting, "is missing")
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.add(setting, "want host:port: "+err.Error())
	}
}

func (v *validation) url(setting, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		v.add(setting, "want an http or https URL")
	}
}

func (v *validation) positive(setting string, value int64) {
	if value <= 0 {
		v.add(setting, "must be above zero")
	}
}

func (v *validation) peerKeys(keys []string) {
	if len(keys) == 0 {
		v.add("peer-keys", "is missing")
	}
	for _, key := range keys {
		if len(key) < minPeerKeyBytes {
			v.add("peer-keys", fmt.Sprintf("each key needs at least %d characters", minPeerKeyBytes))
			return
		}
	}
}

func (v *validation) tlsFiles(setting string, files TLSFiles) {
	if (files.Certificate == "") != (files.Key == "") {
		v.add(setting+"-cert", "goes together with "+setting+"-key")
	}
}

func (v *validation) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return &SettingsError{Problems: v.problems}
}

// AsSettingsError finds a SettingsError in an error chain.
func AsSettingsError(err error) (*SettingsError, bool) {
	var settingsErr *SettingsError
	ok := errors.As(err, &settingsErr)
	return settingsErr, ok
}
