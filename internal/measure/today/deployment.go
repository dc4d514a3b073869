package today

import (
	"fmt"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/network"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Deployment describes the size and the latencies of one organisation's
// installation.
type Deployment struct {
	Name string `json:"name"`
	// DataCentres holds three data centres. The first two form one region, the
	// third is in another region.
	DataCentres [3]state.DataCentre `json:"data_centres"`
	// WithinRegion, BetweenRegions and ToClients are one-way latencies.
	WithinRegion   time.Duration `json:"within_region_ns"`
	BetweenRegions time.Duration `json:"between_regions_ns"`
	ToClients      time.Duration `json:"to_clients_ns"`
	MaxConnections int           `json:"max_connections"`
}

// Sizes and addresses that both deployments share.
const (
	groups        = 3
	databases     = 3 // in each group, one in each data centre
	slots         = 3 // of each database
	openDelay     = 12 * time.Millisecond
	instances     = 4 // the first data centre has two
	platformPlace = network.Place("platform")
)

// Waitaha returns the deployment of the dispatch databases.
func Waitaha() Deployment {
	return Deployment{
		Name: "Waitaha", DataCentres: [3]state.DataCentre{"canterbury", "otago", "wellington"},
		WithinRegion: time.Millisecond, BetweenRegions: 12 * time.Millisecond, ToClients: 3 * time.Millisecond,
		MaxConnections: 20,
	}
}

// Abay returns the deployment of the roster databases.
func Abay() Deployment {
	return Deployment{
		Name: "Abay", DataCentres: [3]state.DataCentre{"addis", "dire-dawa", "bahir-dar"},
		WithinRegion: 1500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond, ToClients: time.Millisecond,
		MaxConnections: 40,
	}
}

// hasNoLatency reports whether the deployment has no latency, and so needs no
// stand-in for the network.
func (d Deployment) hasNoLatency() bool {
	return d.BetweenRegions == 0
}

// clientPlace returns the network place of the clients near a data centre.
func clientPlace(dataCentre state.DataCentre) network.Place {
	return network.Place("clients of " + dataCentre)
}

// listenIP returns the loopback address on which the servers of a data centre
// listen. The data centre is given by its index in Deployment.DataCentres.
func listenIP(index int) string {
	return fmt.Sprintf("127.0.0.%d", index+firstHostOctet)
}

const (
	firstHostOctet = 11
	platformIP     = "127.0.0.10"
)

// oneWayLatency returns the one-way latency between two data centres, given by
// their indices.
func (d Deployment) oneWayLatency(a, b int) time.Duration {
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

// newNetwork creates the places and sets the delays between them. The latency
// between the platform and each data centre is that within a region.
func (d Deployment) newNetwork() *network.Network {
	n := network.New()
	n.AddPlace(platformPlace, platformIP)
	for i, from := range d.DataCentres {
		n.AddPlace(network.Place(from), listenIP(i))
		n.SetDelay(network.Place(from), platformPlace, d.WithinRegion)
		for j, to := range d.DataCentres {
			n.SetDelay(network.Place(from), network.Place(to), d.oneWayLatency(i, j))
			n.SetDelay(clientPlace(from), network.Place(to), d.ToClients+d.oneWayLatency(i, j))
		}
	}
	return n
}
