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

// view holds the instances that may own databases at one moment, sorted by id.
// It is immutable except for its cache of selected owners.
type view struct {
	self       state.InstanceID
	candidates []candidate
	// byDataCentre holds the same candidates, grouped by data centre.
	byDataCentre map[state.DataCentre][]candidate
	// ownersCache maps an ownersKey to the selected owners, a slice of
	// instances that is never modified.
	ownersCache sync.Map
}

// ownersKey holds what the selection of owners depends on besides the
// candidates.
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

// score returns the rendezvous hash of an instance and a database, given the
// hashes of their ids. It doesn't depend on the incarnation, so an instance
// that restarts keeps its databases.
func score(instance, database uint64) uint64 {
	// The finaliser of SplitMix64 makes every bit depend on both hashes.
	x := instance ^ (database * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// maxOwners is the number of owners selected for a database.
const maxOwners = 3

// owners returns the most preferred owners of a database. The view caches them,
// so that only the first call for a database examines every candidate.
func (v *view) owners(database state.Database) []state.Instance {
	key := ownersKey{database.ID, database.DataCentre}
	if cached, found := v.ownersCache.Load(key); found {
		return cached.([]state.Instance)
	}
	owners := v.selectOwners(database)
	v.ownersCache.Store(key, owners)
	return owners
}

// selectOwners ranks the candidates for a database: first those in its data
// centre, then, if these are fewer than maxOwners, the others.
func (v *view) selectOwners(database state.Database) []state.Instance {
	hash := xxhash.Sum64String(string(database.ID))
	owners := highestScored(v.byDataCentre[database.DataCentre], hash, maxOwners)
	if len(owners) == maxOwners {
		return owners
	}
	others := slices.DeleteFunc(slices.Clone(v.candidates), func(one candidate) bool {
		return one.instance.DataCentre == database.DataCentre
	})
	return append(owners, highestScored(others, hash, maxOwners-len(owners))...)
}

// highestScored returns up to count candidates with the highest scores, the
// highest first. Candidates with equal scores stay in the order of their ids.
func highestScored(candidates []candidate, database uint64, count int) []state.Instance {
	type ranked struct {
		at    int
		score uint64
	}
	best := make([]ranked, 0, count+1)
	for at := range candidates {
		next := ranked{at, score(candidates[at].hash, database)}
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
		instances[i] = candidates[one.at].instance
	}
	return instances
}

// owner returns the first of owners, or false when there is none.
func (v *view) owner(database state.Database) (state.Instance, bool) {
	owners := v.owners(database)
	if len(owners) == 0 {
		return state.Instance{}, false
	}
	return owners[0], true
}

// sample returns up to n distinct random candidates other than self.
func (v *view) sample(n int, random *rand.Rand) []state.Instance {
	limit := len(v.candidates)
	var drawn []state.Instance
	moved := make(map[int]int) // displaced indexes of a partial Fisher-Yates shuffle
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

// withoutSelf returns the instances whose id differs from self.
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
