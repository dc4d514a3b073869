// Package renewals lets one instance of a data centre, the collector, send its
// neighbours' renewals to the store together with its own. The collector asks for them
// just before its own renewal is due and tells each neighbour the result.
//
// To the neighbour the collector is a way to the store like any other: its renewal may
// be lost, or be committed without a response, or later, if its conditions still hold.
// The row, its conditions and the time from which the lease counts are the neighbour's
// own. A neighbour that hears nothing in time renews by itself.
//
// Locks: Collector.mu is a leaf. No lock is held during a call to the store.
package renewals

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// groupSize is how many instances renew together. Each takes two entries of a
	// transaction, of which the store accepts a hundred.
	groupSize = 32
	// collectWait is how long the collector waits for its neighbours' offers: a few
	// round trips within a data centre.
	collectWait = 30 * time.Millisecond
	// offerLifetime is how long an instance waits for the result of its offer.
	offerLifetime = 5 * time.Second
)

var (
	collected = metrics.GetOrCreateCounter("cyclamenpin_renewals_collected_total")
	declined  = metrics.GetOrCreateCounter("cyclamenpin_renewals_declined_total")
)

// Participant renews this instance's lease. leadership.Manager implements it.
type Participant interface {
	// OfferRenewal returns a renewal for the collector to send and a function that
	// takes its commit. ok is false if this instance must renew by itself.
	OfferRenewal() (transaction rowstore.Transaction, committed func(rowstore.Commit), ok bool)
	// RenewNow makes this instance renew by itself.
	RenewNow()
}

// Membership returns the instances' rows. leadership.Manager implements it.
type Membership interface {
	Neighbourhood() []leadership.InstanceRow
}

// Messenger sends datagrams to other instances. Messages may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Config holds the dependencies of a collector.
type Config struct {
	Self        state.InstanceID
	Store       rowstore.Store
	Participant func() Participant
	Membership  func() Membership
	// InUse reports whether all instances can take part.
	InUse     func() bool
	Messenger Messenger
	Clock     state.Clock
	Log       zerolog.Logger
}

// Collector sends the renewals of this instance and of those that it collects from, and
// answers its own collector.
type Collector struct {
	Config

	mu sync.Mutex
	// round is the collection in progress, nil if there is none.
	round *round
	// offered are this instance's renewals without a result yet, by nonce.
	offered map[uint64]offered
}

// round is one collection of offers.
type round struct {
	nonce uint64
	// addresses are those of the instances that were asked.
	addresses map[state.InstanceID]string
	offers    []message
	complete  chan struct{}
}

type offered struct {
	at        state.Instant
	committed func(rowstore.Commit)
}

// New returns a collector.
func New(config Config) *Collector {
	return &Collector{Config: config, offered: make(map[uint64]offered)}
}

// Transact commits this instance's renewal, together with those of its neighbours if
// this instance collects them. The result is that of its own.
func (c *Collector) Transact(ctx context.Context, own rowstore.Transaction) (rowstore.Commit, error) {
	r := c.collect(ctx)
	if r == nil {
		return c.Store.Transact(ctx, own)
	}
	b := batch{own: own}
	for _, offer := range r.offers {
		if !b.add(offer) {
			c.answer(r, offer, rowstore.Commit{}, false)
		}
	}
	commit, err := c.Store.Transact(ctx, b.transaction())
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) && b.ownHolds(conflict) {
		for _, offer := range b.removeConflicting(conflict) {
			c.answer(r, offer, rowstore.Commit{}, false)
		}
		commit, err = c.Store.Transact(ctx, b.transaction())
	}
	for _, offer := range b.offers {
		c.answer(r, offer, commit, err == nil)
	}
	return commit, err
}

// collect asks the instances of this one's group for their renewals. It returns nil if
// this instance does not collect.
func (c *Collector) collect(ctx context.Context) *round {
	group := c.Group()
	if len(group) == 0 {
		return nil
	}
	r := &round{nonce: rand.Uint64(), addresses: make(map[state.InstanceID]string), complete: make(chan struct{})}
	for _, row := range group {
		r.addresses[row.Name] = row.Address
	}
	question, err := message{Kind: kindCollect, Nonce: r.nonce, From: c.Self}.encode()
	if err != nil {
		c.Log.Error().Err(err).Msg("renewals are not collected")
		return nil
	}
	c.mu.Lock()
	c.round = r
	c.mu.Unlock()
	for _, address := range r.addresses {
		c.Messenger.Send(address, question)
	}
	state.PauseOrWake(ctx, collectWait, r.complete)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.round == r {
		c.round = nil
	}
	return r
}

// Group returns the instances whose renewals this one collects: those of its data
// centre are divided into groups by an order that is the same for all, and the first
// of each group collects. Instances that have read different rows may both collect from
// one; the store commits one of the two renewals.
func (c *Collector) Group() []leadership.InstanceRow {
	if !c.InUse() {
		return nil
	}
	rows := c.Membership().Neighbourhood()
	slices.SortFunc(rows, func(a, b leadership.InstanceRow) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))), cmp.Compare(a.Name, b.Name))
	})
	self := slices.IndexFunc(rows, func(row leadership.InstanceRow) bool { return row.Name == c.Self })
	if self < 0 || self%groupSize != 0 {
		return nil
	}
	return rows[self+1 : min(len(rows), self+groupSize)]
}

// answer tells an instance what became of its offer.
func (c *Collector) answer(r *round, offer message, commit rowstore.Commit, committed bool) {
	counter := declined
	if committed {
		counter = collected
	}
	counter.Inc()
	result, err := message{Kind: kindResult, Nonce: offer.Nonce, From: c.Self, Era: commit.Era, Committed: committed, Version: commit.Version, Now: int64(commit.Now)}.encode()
	if err != nil {
		c.Log.Error().Err(err).Str("peer", string(offer.From)).Msg("the result of a renewal is not sent")
		return
	}
	c.Messenger.Send(r.addresses[offer.From], result)
}

// Receive handles a datagram from another instance. It returns the response to send
// back, or nil.
func (c *Collector) Receive(datagram []byte) []byte {
	m, err := decode(datagram)
	if err != nil {
		c.Log.Warn().Err(err).Int("bytes", len(datagram)).Msg("cannot decode a message on renewals")
		return nil
	}
	switch m.Kind {
	case kindCollect:
		return c.offer(m)
	case kindOffer:
		c.receiveOffer(m)
	case kindResult:
		c.receiveResult(m)
	}
	return nil
}

// offer returns this instance's renewal as a response to its collector.
func (c *Collector) offer(question message) []byte {
	if !c.InUse() {
		return nil
	}
	transaction, committed, ok := c.Participant().OfferRenewal()
	if !ok {
		return nil
	}
	encoded, err := offerMessage(question.Nonce, c.Self, transaction).encode()
	if err != nil {
		c.Log.Debug().Err(err).Str("peer", string(question.From)).Msg("the renewal is not collected")
		return nil
	}
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nonce, of := range c.offered {
		if now.Sub(of.at) > offerLifetime {
			delete(c.offered, nonce)
		}
	}
	c.offered[question.Nonce] = offered{at: now, committed: committed}
	return encoded
}

func (c *Collector) receiveOffer(m message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.round
	if r == nil || m.Nonce != r.nonce {
		return // too late; the sender renews by itself
	}
	_, asked := r.addresses[m.From]
	repeated := slices.ContainsFunc(r.offers, func(of message) bool { return of.From == m.From })
	if !asked || repeated {
		return
	}
	r.offers = append(r.offers, m)
	if len(r.offers) == len(r.addresses) {
		close(r.complete)
	}
}

func (c *Collector) receiveResult(m message) {
	c.mu.Lock()
	of, expected := c.offered[m.Nonce]
	delete(c.offered, m.Nonce)
	c.mu.Unlock()
	switch {
	case !expected:
	case m.Committed:
		of.committed(m.commit())
	default:
		c.Participant().RenewNow()
	}
}
