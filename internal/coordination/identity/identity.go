package identity

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Credential is what a client presented to identify itself.
type Credential struct {
	key   state.KeyHash
	given bool
}

// NewCredential returns the credential of a client that presented a key, which may
// be empty.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return Credential{key: state.HashKey(key), given: true}
}

// loggedHashBytes is how much of a key's hash identifies the key in logs.
const loggedHashBytes = 4

// String returns the first digits of the key's hash, for logs.
func (c Credential) String() string {
	if !c.given {
		return "none"
	}
	return hex.EncodeToString(c.key[:loggedHashBytes])
}

// Reason is why a client is refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonNoKey Reason = iota + 1
	ReasonUnknownKey
	// ReasonUnverified means that the instance can't tell whether keys are valid.
	ReasonUnverified
	// ReasonOutdated means that another instance has a newer configuration, which
	// this one fails to read.
	ReasonOutdated
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonNoKey:
		return "no_key"
	case ReasonUnknownKey:
		return "unknown_key"
	case ReasonUnverified:
		return "unverified"
	case ReasonOutdated:
		return "outdated"
	default:
		return "unknown"
	}
}

// RefusedError is the error of a client whose statements may not run.
type RefusedError struct {
	Reason Reason
	// Credential is what the client presented.
	Credential Credential
	// Version is the configuration's.
	Version uint64
	// Currency is what was known of the configuration.
	Currency Currency
}

// Error returns the reason and the first digits of the key's hash.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("client refused: %s, key %s, configuration %d known to be current %s ago, behind another instance's for %s",
		e.Reason, e.Credential, e.Version, e.Currency.Age.Round(time.Millisecond), e.Currency.Behind.Round(time.Millisecond))
}

// Policy bounds the use of keys that were withdrawn.
type Policy struct {
	// Strict is set if keys are refused while it is not known whether they are
	// still valid. Otherwise the newest known configuration stays in force.
	Strict bool
	// Within is how long a withdrawn key may still be accepted; 0 means
	// defaultWithin.
	Within time.Duration
}

// Currency is what an instance knows of how current its configuration is.
type Currency struct {
	// Age is how long ago it was last known to be the newest one.
	Age time.Duration
	// Behind is for how long another instance has been known to have a newer one;
	// 0 if none has.
	Behind time.Duration
}

// behindGrace is how long an instance may go on after another one has stated a newer
// configuration, which reaches all instances well within this time.
const behindGrace = 3 * time.Second

// defaultWithin allows for several renewals of the lease, each of which shows whether
// the configuration is current.
const defaultWithin = 5 * time.Second

// Doubt returns why no key can be accepted, or 0 if keys can be accepted.
func (p Policy) Doubt(table *state.RoutingTable, currency Currency) Reason {
	within := p.Within
	if within <= 0 {
		within = defaultWithin
	}
	switch {
	case currency.Behind > behindGrace:
		return ReasonOutdated
	case p.Strict && table.HasWorkspaces && currency.Age > within:
		return ReasonUnverified
	default:
		return 0
	}
}

// Decide returns the workspace on whose behalf a client uses a route. It is empty if
// the configuration defines no workspaces or the route is public. The error is always a
// *RefusedError.
func (p Policy) Decide(table *state.RoutingTable, route state.Route, credential Credential, currency Currency) (state.WorkspaceID, error) {
	if !table.HasWorkspaces || route.Public {
		return "", nil
	}
	refusal := &RefusedError{Credential: credential, Version: table.Version, Currency: currency}
	workspace, known := table.KeyOwners[credential.key]
	doubt := p.Doubt(table, currency)
	switch {
	case !credential.given:
		refusal.Reason = ReasonNoKey
	case doubt != 0:
		refusal.Reason = doubt
	case !known:
		refusal.Reason = ReasonUnknownKey
	default:
		return workspace, nil
	}
	return "", refusal
}

// HoldsKey reports whether a text is a key of the configuration. Such a text must not
// be logged, wherever the client sent it.
func HoldsKey(table *state.RoutingTable, text string) bool {
	_, known := table.KeyOwners[state.HashKey(text)]
	return known
}
