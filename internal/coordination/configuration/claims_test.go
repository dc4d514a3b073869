package configuration

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Several promoters claim terms and record primaries while responses are lost
// and reads are stale. At most one promoter may obtain a term, also if it repeats
// the claim. Neither the recorded term nor the one that an instance holds may
// decrease.
func TestTermHasOnePromoterAndRecordsOnlyGoUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		service := newFakeTables()
		service.Put(GroupKey("g"), encodeRecord(state.Group{ID: "g", Databases: make([]state.Database, 3)}))
		snapshot := maps.Clone(service.records)
		sets := make([]*Groups, 3)
		for i := range sets {
			sets[i] = NewGroups(service, FollowerOptions{}, zerolog.Nop())
			sets[i].poll(ctx)
		}
		winners := map[state.Term]state.InstanceID{}
		held := make([]state.Term, len(sets))
		versions := make([]uint64, len(sets))
		var recorded state.Term
		claim := func(i int, term state.Term) {
			if sets[i].ClaimTerm(ctx, "g", term, instanceID(i)) == nil {
				winner, won := winners[term]
				require.True(t, !won || winner == instanceID(i), "term %d has two promoters", term)
				winners[term] = instanceID(i)
				service.dropCommitResponses = 0
				require.NoError(t, sets[i].ClaimTerm(ctx, "g", term, instanceID(i)), "a claim is idempotent")
				primary := state.DatabaseID(fmt.Sprintf("d%d", i))
				if sets[i].RecordPrimary(ctx, "g", term, primary) == nil {
					recorded = max(recorded, term)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				i := rapid.IntRange(0, len(sets)-1).Draw(t, "promoter")
				term := state.Term(rapid.IntRange(1, 6).Draw(t, "term"))
				if rapid.Bool().Draw(t, "raced") {
					service.interrupt = func() { claim((i+1)%len(sets), term) }
				}
				claim(i, term)
				service.interrupt = nil
			},
			"lose":  func(t *rapid.T) { service.dropCommitResponses = rapid.IntRange(0, 2).Draw(t, "lost") },
			"stale": func(*rapid.T) { service.stale = snapshot },
			"fresh": func(*rapid.T) { service.stale = nil },
			"restore": func(*rapid.T) {
				record := service.records[GroupKey("g")]
				service.lastVersion++
				record.Version = service.lastVersion
				record.Value = snapshot[GroupKey("g")].Value
				service.records[GroupKey("g")] = record
				recorded = 0
			},
			"poll": func(t *rapid.T) { sets[rapid.IntRange(0, len(sets)-1).Draw(t, "set")].poll(ctx) },
			"": func(t *rapid.T) {
				group := state.Group{}
				_ = decodeRecord("test", service.records[GroupKey("g")].Value, &group)
				require.GreaterOrEqual(t, group.Term, recorded)
				for i, set := range sets {
					seen, found := set.Get("g")
					require.True(t, found)
					require.GreaterOrEqual(t, seen.Term, held[i])
					held[i] = seen.Term
					require.GreaterOrEqual(t, set.records["g"].Version, versions[i], "an older record was taken")
					versions[i] = set.records["g"].Version
				}
			},
		})
	})
}
