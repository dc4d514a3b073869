package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// One in reserveDivisor connections is kept free for a change of the holders.
	reserveDivisor = 10
	// probeReserve is how many connections are kept free where there are holders,
	// for probes of the watchers of a group, each of which may hold one. It is at most
	// one in maxReserveDivisor.
	probeReserve      = 9
	maxReserveDivisor = 4
	// minPerHolder is the least number of connections of one holder: with fewer, a
	// transaction that waits for its client would block the other requests.
	minPerHolder = 4
	// usualHolders is the number of holders at little demand. The loss of one
	// leaves enough to take its part.
	usualHolders = 4
	// demandPerHolder is how many connections of one holder are in use on average
	// before there are more holders.
	demandPerHolder = 4
	// workspaceHolders is the number of holders at little demand where each
	// connection belongs to one workspace: the fewer share a workspace's connections,
	// the longer each is of use. The second one takes over from the first.
	workspaceHolders = 2
	// demandPerWorkspaceHolder is the same as demandPerHolder for these.
	demandPerWorkspaceHolder = 16
	// lessHolders is the part of the present number of holders below which the
	// number that the demand needs must fall before it is reduced.
	lessHolders = 0.6
	// directFactor is how many times the usable connections must exceed the
	// instances before those that forward open their own connections again.
	directFactor = 1.2
)

// Instance is a live instance.
type Instance struct {
	Name       state.InstanceID `json:"name"`
	Address    string           `json:"address"`
	DataCentre state.DataCentre `json:"data_centre"`
	// Joining is set until all others must have read the instance's first row.
	Joining bool `json:"joining"`
}

// usable returns how many of the connections that a database accepts are divided
// among all instances if each opens its own.
func usable(accepted int) int {
	return max(1, accepted-accepted/reserveDivisor)
}

// divided returns how many are divided among the holders. Other instances then have
// none with which they could probe.
func divided(accepted int) int {
	return max(1, accepted-max(accepted/reserveDivisor, min(probeReserve, accepted/maxReserveDivisor)))
}

// size is what a decision depends on.
type size struct {
	// accepted is how many connections the database accepts.
	accepted  int
	instances int
	// workspaces is the number of workspaces to which connections belong, 0 if they
	// belong to none.
	workspaces int
	// demand is how many connections are in use or waited for.
	demand float64
}

// forwards reports whether there are too few connections for all instances, one
// for each workspace. before is the last decision.
func (s size) forwards(before bool) bool {
	needed := float64(s.instances * max(1, s.workspaces))
	if before {
		needed *= directFactor
	}
	return float64(usable(s.accepted)) < needed
}

// holderCount returns the number of holders. before is the present number, 0 if
// there is none.
func (s size) holderCount(before int) int {
	usual, perHolder := usualHolders, float64(demandPerHolder)
	if s.workspaces > 0 {
		usual, perHolder = workspaceHolders, demandPerWorkspaceHolder
	}
	limit := max(1, min(s.instances, divided(s.accepted)/minPerHolder))
	needed := min(limit, max(usual, int(s.demand/perHolder)+1))
	if needed < before && float64(needed) > lessHolders*float64(before) {
		return min(before, limit)
	}
	return needed
}

// shareOf returns the part of the holder at a rank in the divided connections.
func shareOf(accepted, holders, rank int) int {
	part := divided(accepted) / holders
	if rank < divided(accepted)%holders {
		part++
	}
	return max(1, part)
}

// weight orders instances for a database or for a sender. A missing instance
// leaves the order of the others unchanged.
func weight(subject string, name state.InstanceID) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(name))
}

// byWeight returns at most count instances in the order of their weights.
func byWeight(subject string, instances []Instance, count int) []Instance {
	type ranked struct {
		weight uint64
		index  int
	}
	all := make([]ranked, len(instances))
	for n := range instances {
		all[n] = ranked{weight(subject, instances[n].Name), n}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.weight, b.weight) })
	chosen := make([]Instance, 0, min(count, len(all)))
	for _, entry := range all[:min(count, len(all))] {
		chosen = append(chosen, instances[entry.index])
	}
	return chosen
}

// fleet holds the instances that may be holders by place.
type fleet struct {
	all          []Instance
	byDataCentre map[state.DataCentre][]Instance
	byRegion     map[string][]Instance
}

// newFleet returns the instances by place. Those that are joining hold nothing yet,
// since the present holders do not know of them, unless most are: then the whole fleet
// has started.
func newFleet(instances []Instance, region func(state.DataCentre) string) fleet {
	settled := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.Joining })
	if 2*len(settled) >= len(instances) {
		instances = settled
	}
	f := fleet{all: instances, byDataCentre: make(map[state.DataCentre][]Instance), byRegion: make(map[string][]Instance)}
	for _, instance := range instances {
		f.byDataCentre[instance.DataCentre] = append(f.byDataCentre[instance.DataCentre], instance)
		f.byRegion[region(instance.DataCentre)] = append(f.byRegion[region(instance.DataCentre)], instance)
	}
	return f
}

// holders returns the instances that hold connections to a database, the first
// ranked first: those of its data centre, as far as there are enough, then those
// of its region, then any.
func (f fleet) holders(database state.Database, region string, count int) []Instance {
	var chosen []Instance
	for _, candidates := range [][]Instance{f.byDataCentre[database.DataCentre], f.byRegion[region], f.all} {
		for _, instance := range byWeight(string(database.ID), candidates, count) {
			if len(chosen) < count && !slices.Contains(chosen, instance) {
				chosen = append(chosen, instance)
			}
		}
	}
	return chosen
}

// OrderFor returns the holders of a database in the order in which an instance
// uses them. The instances spread over the holders and each uses few; what belongs
// to a workspace goes to the same holder from all instances, since only its
// connections can serve it.
func OrderFor(sender state.InstanceID, workspace state.WorkspaceID, database state.DatabaseID, holders []Instance) []Instance {
	subject := "instance\x00" + string(sender)
	if workspace != "" {
		subject = "workspace\x00" + string(workspace)
	}
	return byWeight(subject+"\x00"+string(database), holders, len(holders))
}
