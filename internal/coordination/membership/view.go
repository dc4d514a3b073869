package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// candidate is an instance with the hash of its id.
type candidate struct {
	instance state.Instance
	hash     uint64
}

// view is the instances that may own databases at one moment, sorted by id. It
// is immutable.
type view struct {
	self       state.InstanceID
	candidates []candidate
	// byDataCentre holds the same candidates by their data centre.
	byDataCentre map[state.DataCentre][]candidate
}

func newView(self state.InstanceID, instances []state.Instance) *view {
	v := &view{self: self, byDataCentre: make(map[state.DataCentre][]candidate)}
	for _, instance := range instances {
		one := candidate{instance, xxhash.Sum64String(string(instance.ID))}
		v.candidates = append(v.candidates, one)
	}
	slices.SortFunc(v.candidates, func(a, b candidate) int {
		return cmp.Compare(a.instance.ID, b.instance.ID)
	})
	for _, one := range v.candidates {
		centre := one.instance.DataCentre
		v.byDataCentre[centre] = append(v.byDataCentre[centre], one)
	}
	return v
}

// score is the rendezvous hash of an instance and a database. The incarnation
// does not count, so an instance that restarts keeps its databases.
func score(instance, database uint64) uint64 {
	// The finaliser of SplitMix64, which makes every bit depend on both.
	x := instance ^ (database * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func (v *view) owners(database state.Database) []state.Instance {
	hash := xxhash.Sum64String(string(database.ID))
	order := slices.Clone(v.candidates)
	slices.SortStableFunc(order, func(a, b candidate) int {
		aLocal := a.instance.DataCentre == database.DataCentre
		bLocal := b.instance.DataCentre == database.DataCentre
		if aLocal != bLocal {
			return cmp.Compare(localRank(aLocal), localRank(bLocal))
		}
		return cmp.Compare(score(b.hash, hash), score(a.hash, hash))
	})
	owners := make([]state.Instance, len(order))
	for i, one := range order {
		owners[i] = one.instance
	}
	return owners
}

// localRank orders a database's own data centre before the others.
func localRank(local bool) int {
	if local {
		return 0
	}
	return 1
}

// owner looks at the database's own data centre only, if any instance is there.
func (v *view) owner(database state.Database) (state.Instance, bool) {
	among := v.byDataCentre[database.DataCentre]
	if len(among) == 0 {
		among = v.candidates
	}
	if len(among) == 0 {
		return state.Instance{}, false
	}
	hash := xxhash.Sum64String(string(database.ID))
	best, highest := 0, score(among[0].hash, hash)
	for at := 1; at < len(among); at++ {
		if one := score(among[at].hash, hash); one > highest {
			best, highest = at, one
		}
	}
	return among[best].instance, true
}

// sample draws up to n distinct candidates other than self.
func (v *view) sample(n int, random *rand.Rand) []state.Instance {
	limit := len(v.candidates)
	var drawn []state.Instance
	moved := make(map[int]int) // a partial Fisher-Yates shuffle
	at := func(i int) int {
		if j, found := moved[i]; found {
			return j
		}
		return i
	}
	for i := 0; i < limit && len(drawn) < n; i++ {
		j := i + random.IntN(limit-i)
		chosen := at(j)
		moved[j] = at(i)
		if instance := v.candidates[chosen].instance; instance.ID != v.self {
			drawn = append(drawn, instance)
		}
	}
	return drawn
}

// withoutSelf returns the instances whose id is not self's.
func withoutSelf(instances []state.Instance, self state.InstanceID) []state.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(instance state.Instance) bool {
		return instance.ID == self
	})
}

func sortedInstances(byID map[state.InstanceID]state.Instance) []state.Instance {
	instances := make([]state.Instance, 0, len(byID))
	for _, instance := range byID {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b state.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}
