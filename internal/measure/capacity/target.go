package capacity

import (
	"fmt"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Sizes that the system must support.
const (
	targetInstances         = 1500
	targetGroups            = 600
	targetGroupSize         = 3
	targetDataCentres       = 7
	targetSessions          = 7333 // client connections to each instance
	targetStatements        = 1533 // statements per second through each instance
	targetWatchedGroups     = 1.2  // groups watched by each instance: 600 groups, each watched by the owners of its 3 databases
	targetPlans             = 1000 // assumed, as the target does not state a number of plans
	targetPeerLinks         = 1500
	targetStatementBlock    = 1000
	targetConcurrentWriters = 32
)

// instances returns a list of count instances, distributed evenly over the data
// centres.
func instances(count int) []state.Instance {
	list := make([]state.Instance, count)
	for i := range list {
		list[i] = state.Instance{
			ID: state.InstanceID(fmt.Sprintf("instance-%04d", i)), Incarnation: 1_700_000_000_000_000_000,
			DataCentre:  dataCentre(i),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7432", i%targetDataCentres, i/256, i%256),
		}
	}
	return list
}

// dataCentre returns the name of a data centre. Numbers from targetDataCentres on
// start again at the first.
func dataCentre(number int) state.DataCentre {
	return state.DataCentre(fmt.Sprintf("centre-%d", number%targetDataCentres))
}

// groups returns the records of count database groups, each with databases in
// three data centres.
func groups(count int) []state.Group {
	list := make([]state.Group, count)
	for i := range list {
		group := state.Group{ID: state.GroupID(fmt.Sprintf("group-%04d", i)), Term: 1}
		for member := range targetGroupSize {
			group.Databases = append(group.Databases, state.Database{
				ID:             state.DatabaseID(fmt.Sprintf("group-%04d-%d", i, member)),
				Address:        fmt.Sprintf("10.%d.%d.%d:5432", 100+member, i/256, i%256),
				DataCentre:     dataCentre(i + 2*member),
				Slots:          3,
				MaxConnections: 20,
			})
		}
		group.Primary = group.Databases[0].ID
		list[i] = group
	}
	return list
}
