package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// WorkspaceStats is the state of one workspace's limit at this instance.
type WorkspaceStats struct {
	Workspace state.WorkspaceID `json:"workspace"`
	PerSecond float64           `json:"limit_per_second"`
	Burst     float64           `json:"limit_burst"`
	// Home grants the permits, Weight is the part of the limit that it manages, and
	// Part that of this instance.
	Home   state.InstanceID `json:"home"`
	Weight float64          `json:"home_weight"`
	Part   float64          `json:"part"`
	// Permits are held here, and Demand is the operations a second here.
	Permits int     `json:"permits"`
	Demand  float64 `json:"demand_per_second"`
	// Admitted, Unaided (those of them without a permit) and Refused count operations.
	Admitted uint64 `json:"admitted"`
	Unaided  uint64 `json:"admitted_unaided"`
	Refused  uint64 `json:"refused"`
	// EmptyFor is how long operations are refused by the home's last answer.
	EmptyFor time.Duration `json:"empty_for_ns"`
}

// Stats returns the state of all limits, the largest first.
func (l *Limiter) Stats() []WorkspaceStats {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := make([]WorkspaceStats, 0, len(l.stocks))
	for id, s := range l.stocks {
		link := l.links[shardOf(id)]
		s.decay(now)
		s.dropExpired(now)
		of := WorkspaceStats{
			Workspace: id, PerSecond: s.limit.PerSecond, Burst: s.limit.Burst, Home: link.home, Weight: link.weight, Permits: s.held(),
			Demand: s.demand / demandWindow.Seconds(), Admitted: s.admitted, Unaided: s.admittedUnaided, Refused: s.refused,
			EmptyFor: max(0, s.emptyUntil.Sub(now)),
		}
		if l.share.valid(now) {
			of.Part = 1 / float64(l.share.denominator)
		}
		stats = append(stats, of)
	}
	slices.SortFunc(stats, func(a, b WorkspaceStats) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Workspace, b.Workspace))
	})
	return stats
}

// Summarise keeps the largest limits and adds the others up as one entry named other,
// so that the number of metrics is bounded.
func Summarise(stats []WorkspaceStats, largest int) []WorkspaceStats {
	if len(stats) <= largest {
		return stats
	}
	other := WorkspaceStats{Workspace: "other"}
	for _, of := range stats[largest:] {
		other.PerSecond += of.PerSecond
		other.Permits += of.Permits
		other.Demand += of.Demand
		other.Admitted += of.Admitted
		other.Unaided += of.Unaided
		other.Refused += of.Refused
	}
	return append(slices.Clone(stats[:largest]), other)
}
