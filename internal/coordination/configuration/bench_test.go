package configuration

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func configurationOf(plans int) *state.Configuration {
	configuration := &state.Configuration{Revision: 1, EditID: "00000000-0000-0000-0000-000000000000"}
	for i := range plans {
		id := state.PlanID(fmt.Sprintf("plan-%04d", i))
		configuration.Plans = append(configuration.Plans, testPlan(id, "orders portal"))
		configuration.Limits = append(configuration.Limits, state.Limit{
			Plan: id, MaxConnections: 5, MaxStalenessMillis: 1000, Databases: []state.GroupID{"orders", "stock"},
		})
	}
	return configuration
}

func encodedSize(b *testing.B, message Exchange) float64 {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(encoded))
}

func BenchmarkExchangeWithNothingNew(b *testing.B) {
	network := newNetwork()
	follower := NewFollower(NewStore(newFakeTables()), &fakePeers{network: network}, nil, FollowerOptions{}, zerolog.Nop())
	follower.start(b.Context())
	follower.Offer(b.Context(), configurationOf(100), SourcePeer)
	message := follower.digestsMessage()
	for b.Loop() {
		follower.HandleExchange(b.Context(), message)
	}
	b.ReportMetric(encodedSize(b, message), "bytes/message")
}

func BenchmarkTakeNewConfiguration(b *testing.B) {
	for _, plans := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d plans", plans), func(b *testing.B) {
			network := newNetwork()
			follower := NewFollower(NewStore(newFakeTables()), &fakePeers{network: network}, nil, FollowerOptions{}, zerolog.Nop())
			follower.start(b.Context())
			configuration := configurationOf(plans)
			for b.Loop() {
				next := *configuration
				next.Revision = follower.Digest().Revision + 1
				follower.HandleExchange(b.Context(), Exchange{Digest: DigestOf(&next), Document: &next})
			}
			b.ReportMetric(encodedSize(b, Exchange{Digest: DigestOf(configuration), Document: configuration}), "bytes/message")
		})
	}
}
