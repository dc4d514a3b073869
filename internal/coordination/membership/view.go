package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// candidate is an instance with the hash of its id.
type candidate struct {
	instance state.Instance
	hash     uint64
}

// view is the instances that may own databases at one moment, sorted by id. It
// is immutable, but for what it remembers of its own answers.
type view struct {
	self       state.InstanceID
	candidates []candidate
	// byDataCentre holds the same candidates by their data centre.
	byDataCentre map[state.DataCentre][]candidate
	// known holds the owners that were asked for: ownersKey to a slice of
	// instances that is not changed.
	known sync.Map
}

// ownersKey is what the choice of owners depends on beside the candidates.
type ownersKey struct {
	database   state.DatabaseID
	dataCentre state.DataCentre
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

// maxOwners is how many owners of a database are told.
const maxOwners = 3

// owners returns the first owners of a database. The view keeps them, so that
// only the first call for a database looks at every candidate.
func (v *view) owners(database state.Database) []state.Instance {
	key := ownersKey{database.ID, database.DataCentre}
	if known, found := v.known.Load(key); found {
		return known.([]state.Instance)
	}
	owners := v.choose(database)
	v.known.Store(key, owners)
	return owners
}

// choose ranks the candidates for a database: those of its data centre, then
// the others where there are too few.
func (v *view) choose(database state.Database) []state.Instance {
	hash := xxhash.Sum64String(string(database.ID))
	owners := highest(v.byDataCentre[database.DataCentre], hash, maxOwners)
	if len(owners) == maxOwners {
		return owners
	}
	others := slices.DeleteFunc(slices.Clone(v.candidates), func(one candidate) bool {
		return one.instance.DataCentre == database.DataCentre
	})
	return append(owners, highest(others, hash, maxOwners-len(owners))...)
}

// highest returns up to count candidates with the highest scores, the highest
// first. Equal scores keep the order of the ids.
func highest(among []candidate, database uint64, count int) []state.Instance {
	type ranked struct {
		at    int
		score uint64
	}
	best := make([]ranked, 0, count+1)
	for at := range among {
		next := ranked{at, score(among[at].hash, database)}
		if len(best) == count && next.score <= best[count-1].score {
			continue
		}
		place := len(best)
		for place > 0 && next.score > best[place-1].score {
			place--
		}
		best = slices.Insert(best, place, next)
		best = best[:min(len(best), count)]
	}
	instances := make([]state.Instance, len(best))
	for i, one := range best {
		instances[i] = among[one.at].instance
	}
	return instances
}

// owner returns the first of owners.
func (v *view) owner(database state.Database) (state.Instance, bool) {
	owners := v.owners(database)
	if len(owners) == 0 {
		return state.Instance{}, false
	}
	return owners[0], true
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
