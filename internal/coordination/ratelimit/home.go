package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// shardOf returns the shard of a workspace.
func shardOf(id state.WorkspaceID) uint8 {
	return uint8(xxhash.Sum64String(string(id)) % shardCount)
}

// home is what this instance keeps of one shard while others pledge to it. It is pure
// state; the caller passes the time.
type home struct {
	run       int64
	shard     uint8
	tolerance Tolerance
	version   uint64
	leaving   bool
	askers    map[state.InstanceID]*asker
	buckets   map[state.WorkspaceID]*bucket
	// weight is the sum of the pledges, and integral its integral over time, in
	// seconds, up to filledTo.
	weight   float64
	integral float64
	filledTo state.Instant
}

// asker is what a home knows of an instance that asks.
type asker struct {
	run int64
	// newest is the highest sequence number received, and seen has a bit for each
	// of those up to 64 before it.
	newest, seen uint64
	// pledged is the sequence number of the last pledge or withdrawal.
	pledged uint64
	weight  float64
	until   state.Instant
	// keptUntil is when late messages of this run can no longer make a pledge.
	keptUntil state.Instant
}

func newHome(run int64, shard uint8, tolerance Tolerance, now state.Instant) *home {
	return &home{
		run: run, shard: shard, tolerance: tolerance, filledTo: now,
		askers: make(map[state.InstanceID]*asker), buckets: make(map[state.WorkspaceID]*bucket),
	}
}

// configure applies the limits of a configuration. New buckets are empty.
func (h *home) configure(version uint64, workspaces map[state.WorkspaceID]state.Workspace, now state.Instant) {
	h.advance(now)
	h.version = version
	for id, workspace := range workspaces {
		if shardOf(id) != h.shard || workspace.Limit.IsZero() {
			continue
		}
		b := h.bucket(id)
		b.fill(h.integral, h.weight, h.tolerance)
		b.limit = workspace.Limit
		if b.otherVersion <= version {
			b.other, b.otherVersion = state.RateLimit{}, 0
		}
		b.fill(h.integral, h.weight, h.tolerance)
	}
	maps.DeleteFunc(h.buckets, func(id state.WorkspaceID, b *bucket) bool {
		return workspaces[id].Limit.IsZero() && b.otherVersion <= version
	})
}

func (h *home) bucket(id state.WorkspaceID) *bucket {
	b, ok := h.buckets[id]
	if !ok {
		b = &bucket{filledTo: h.integral}
		h.buckets[id] = b
	}
	return b
}

// advance moves the time on and ends the pledges that expire meanwhile, in their
// order.
func (h *home) advance(now state.Instant) {
	for {
		var next *asker
		for name, a := range h.askers {
			if a.weight > 0 && a.until <= now && (next == nil || a.until < next.until) {
				next = a
			}
			if a.weight == 0 && a.keptUntil <= now {
				delete(h.askers, name)
			}
		}
		if next == nil {
			break
		}
		h.accrue(next.until)
		next.weight = 0
		h.reweigh()
	}
	h.accrue(now)
}

func (h *home) accrue(now state.Instant) {
	if now > h.filledTo {
		h.integral += h.weight * now.Sub(h.filledTo).Seconds()
		h.filledTo = now
	}
}

// reweigh adds the pledges up anew. Buckets are filled by the old weight and cut to
// the capacity of the new one.
func (h *home) reweigh() {
	weights := make([]float64, 0, len(h.askers))
	for _, a := range h.askers {
		if a.weight > 0 {
			weights = append(weights, a.weight)
		}
	}
	slices.Sort(weights) // the sum must not depend on the map's order
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for _, b := range h.buckets {
		b.fill(h.integral, h.weight, h.tolerance)
	}
	h.weight = min(1, sum)
	for _, b := range h.buckets {
		b.fill(h.integral, h.weight, h.tolerance)
	}
}

// handle serves a message and returns the answer, nil if there is none.
func (h *home) handle(m *message, now state.Instant) *message {
	if h.leaving {
		return nil
	}
	h.advance(now)
	if !h.forget(m.From, m.Run, now) {
		return nil
	}
	a := h.askers[m.From]
	if !a.accept(m.Sequence) {
		return nil
	}
	if m.Pledge != nil && m.Sequence > a.pledged {
		h.pledge(a, m)
	}
	answer := &message{
		Kind: kindGrant, Shard: h.shard, Run: m.Run, Sequence: m.Sequence, Configuration: h.version,
		Nonce: nonce{Run: h.run, At: now}, Weight: float32(h.weight),
	}
	for _, wanted := range m.Items {
		if m.Nonce.Run != h.run || now.Sub(m.Nonce.At) > maxPledge {
			wanted.Back = 0 // it may be a copy of a message of which nothing is known any more
		}
		answer.Items = append(answer.Items, h.grant(wanted, m.Configuration))
	}
	return answer
}

// pledge applies a pledge or a withdrawal. The pledge counts from when this run sent
// the nonce, however long the message took.
func (h *home) pledge(a *asker, m *message) {
	until := m.Nonce.At.Add(min(m.Pledge.Length, maxPledge))
	before := a.weight
	a.pledged, a.weight = m.Sequence, 0
	if m.Pledge.Denominator > 0 && m.Nonce.Run == h.run && until > h.filledTo {
		a.weight, a.until = 1/float64(m.Pledge.Denominator), until
	}
	if a.weight != before {
		h.reweigh()
	}
}

// grant takes permits of one workspace from its bucket.
func (h *home) grant(wanted item, version uint64) item {
	b, known := h.buckets[wanted.Workspace]
	if version > h.version && wanted.Limit != nil {
		b, known = h.bucket(wanted.Workspace), true
		b.fill(h.integral, h.weight, h.tolerance)
		b.other, b.otherVersion = state.RateLimit{PerSecond: wanted.Limit.PerSecond, Burst: wanted.Limit.Burst}, version
	}
	if !known {
		return item{Workspace: wanted.Workspace, WaitMillis: int(maxWait / time.Millisecond)}
	}
	b.tokens += float64(max(0, wanted.Back))
	b.fill(h.integral, h.weight, h.tolerance)
	granted := b.take(wanted.Count)
	wait := b.wait(h.weight, min(maxLeastWait, time.Duration(len(h.askers))*waitPerAsker))
	return item{Workspace: wanted.Workspace, Count: granted, WaitMillis: int((wait + time.Millisecond - 1) / time.Millisecond)}
}

// accept reports whether a message with the sequence number was not received before,
// as far as the recent numbers show.
func (a *asker) accept(sequence uint64) bool {
	if sequence > a.newest {
		shift := sequence - a.newest
		if shift <= 64 {
			a.seen = a.seen<<shift | 1<<(shift-1)
		} else {
			a.seen = 0
		}
		a.newest = sequence
		return true
	}
	behind := a.newest - sequence
	if behind == 0 || behind > 64 || a.seen&(1<<(behind-1)) != 0 {
		return false
	}
	a.seen |= 1 << (behind - 1)
	return true
}
