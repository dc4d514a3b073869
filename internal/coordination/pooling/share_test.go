package pooling

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Many instances share few connections. Their shares together must not exceed
// what the database accepts, and each must be at least one.
func TestSharesAddUpToWhatTheDatabaseAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := rapid.IntRange(2, 500).Draw(t, "accepted")
		instances := rapid.IntRange(1, accepted-accepted/reserveDivisor).Draw(t, "instances")
		demands := rapid.SliceOfN(rapid.IntRange(0, 400), instances, instances).Draw(t, "demands")
		all := 0
		for _, demand := range demands {
			all += demand
		}
		sum := 0
		for _, own := range demands {
			part := share(accepted, Division{Instances: instances, OwnDemand: own, TotalDemand: all})
			require.GreaterOrEqual(t, part, 1)
			sum += part
		}
		require.LessOrEqual(t, sum, accepted)
	})
}

// An instance with more demand than the others gets more of the connections.
func TestSharesFollowDemand(t *testing.T) {
	busy := share(222, Division{Instances: 34, OwnDemand: 300, TotalDemand: 630})
	idle := share(222, Division{Instances: 34, OwnDemand: 10, TotalDemand: 630})
	require.Greater(t, busy, 5*idle)
	require.GreaterOrEqual(t, idle, fullMinimum)
}

func TestInstanceAloneMayUseAllButTheReserve(t *testing.T) {
	require.Equal(t, 20, share(22, Division{Instances: 1, OwnDemand: 5, TotalDemand: 5}))
	require.Equal(t, 20, share(22, Division{}))
}
