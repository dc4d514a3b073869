package today

import (
	"fmt"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/network"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Deployment is the size of one organisation's installation.
type Deployment struct {
	Name string `json:"name"`
	// DataCentres are three. The first two are taken to be one region, the
	// third another.
	DataCentres [3]state.DataCentre `json:"data_centres"`
	// WithinRegion, BetweenRegions and ToClients are one-way latencies.
	WithinRegion   time.Duration `json:"within_region_ns"`
	BetweenRegions time.Duration `json:"between_regions_ns"`
	ToClients      time.Duration `json:"to_clients_ns"`
	MaxConnections int           `json:"max_connections"`
}

// Sizes that both deployments share.
const (
	groups        = 3
	databases     = 3 // of each group, one in each data centre
	slots         = 3
	openDelay     = 12 * time.Millisecond
	instances     = 4 // the first data centre has two
	platformPlace = network.Place("platform")
)

// Waitaha is the installation of the dispatch databases.
func Waitaha() Deployment {
	return Deployment{
		Name: "Waitaha", DataCentres: [3]state.DataCentre{"canterbury", "otago", "wellington"},
		WithinRegion: time.Millisecond, BetweenRegions: 12 * time.Millisecond, ToClients: 3 * time.Millisecond,
		MaxConnections: 20,
	}
}

// Abay is the installation of the roster databases.
func Abay() Deployment {
	return Deployment{
		Name: "Abay", DataCentres: [3]state.DataCentre{"addis", "dire-dawa", "bahir-dar"},
		WithinRegion: 1500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond, ToClients: time.Millisecond,
		MaxConnections: 40,
	}
}

// bare reports whether the deployment has no latency, and so needs no
// stand-in for the network.
func (d Deployment) bare() bool {
	return d.BetweenRegions == 0
}

// clientsOf is the place of the clients near a data centre.
func clientsOf(dataCentre state.DataCentre) network.Place {
	return network.Place("clients of " + dataCentre)
}

// ip is the address on which the servers of the data centre with an index
// listen.
func ip(index int) string {
	return fmt.Sprintf("127.0.0.%d", index+firstHost)
}

const (
	firstHost  = 11
	platformIP = "127.0.0.10"
)

// distance is the one-way latency between two data centres.
func (d Deployment) distance(a, b int) time.Duration {
	third := len(d.DataCentres) - 1
	switch {
	case a == b:
		return 0
	case a == third || b == third:
		return d.BetweenRegions
	default:
		return d.WithinRegion
	}
}

// newNetwork lays out the places and the delays between them. The platform is
// taken to be as far from each data centre as a neighbour in its region.
func (d Deployment) newNetwork() *network.Network {
	n := network.New()
	n.AddPlace(platformPlace, platformIP)
	for i, from := range d.DataCentres {
		n.AddPlace(network.Place(from), ip(i))
		n.SetDelay(network.Place(from), platformPlace, d.WithinRegion)
		for j, to := range d.DataCentres {
			n.SetDelay(network.Place(from), network.Place(to), d.distance(i, j))
			n.SetDelay(clientsOf(from), network.Place(to), d.ToClients+d.distance(i, j))
		}
	}
	return n
}
