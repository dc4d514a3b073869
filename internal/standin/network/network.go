package network

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Place is the name of a location, such as a data centre.
type Place string

// direction is the path from one place to another.
type direction struct {
	from, to Place
}

// Network holds the places, the delays between them and the directions that are
// partitioned. Its mutex guards all fields below it; no other lock is taken while
// it is held.
type Network struct {
	mu          sync.Mutex
	places      map[string]Place // by IP address
	delays      map[direction]time.Duration
	partitioned map[direction]bool
	// changed is closed and replaced at each partition and heal.
	changed chan struct{}
}

// New returns a network without places.
func New() *Network {
	return &Network{
		places: map[string]Place{}, delays: map[direction]time.Duration{},
		partitioned: map[direction]bool{}, changed: make(chan struct{}),
	}
}

// AddPlace assigns an IP address, on which servers listen, to a place.
func (n *Network) AddPlace(place Place, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[ip] = place
}

// SetDelay sets the one-way delay between two places, for both directions.
func (n *Network) SetDelay(a, b Place, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[direction{a, b}] = oneWay
	n.delays[direction{b, a}] = oneWay
}

// PartitionOneWay holds back all bytes sent from one place to another.
func (n *Network) PartitionOneWay(from, to Place) {
	n.setPartitioned(true, direction{from, to})
}

// Partition holds back all bytes sent between two places.
func (n *Network) Partition(a, b Place) {
	n.setPartitioned(true, direction{a, b}, direction{b, a})
}

// Heal ends partitions between two places, in both directions.
func (n *Network) Heal(a, b Place) {
	n.setPartitioned(false, direction{a, b}, direction{b, a})
}

func (n *Network) setPartitioned(partitioned bool, directions ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, dir := range directions {
		n.partitioned[dir] = partitioned
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// isOpen reports whether a direction is not partitioned, and returns a channel
// that is closed at the next partition or heal.
func (n *Network) isOpen(dir direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[dir], n.changed
}

func (n *Network) delay(dir direction) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[dir]
}

// placeOf returns the place to which the IP address of address was assigned.
func (n *Network) placeOf(address string) (Place, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", eris.Wrap(err, "find place: split address")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	place, known := n.places[host]
	if !known {
		return "", eris.Errorf("find place: no place has the IP address %s", host)
	}
	return place, nil
}

// Dialer opens connections from one place.
type Dialer struct {
	network *Network
	from    Place
}

// From returns the dialer of a place.
func (n *Network) From(place Place) Dialer {
	return Dialer{network: n, from: place}
}

// DialContext opens a connection after one round trip. During a partition it
// waits until the path is healed, as if packets were lost, or ctx ends.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := d.network.placeOf(address)
	if err != nil {
		return nil, err
	}
	for _, dir := range []direction{{d.from, to}, {to, d.from}} {
		if err := d.network.awaitCrossing(ctx, dir); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(d.network, raw, d.from, to), nil
}

// awaitCrossing waits as long as a packet takes in a direction: its delay and any
// partition.
func (n *Network) awaitCrossing(ctx context.Context, dir direction) error {
	arrival := time.NewTimer(n.delay(dir))
	defer arrival.Stop()
	select {
	case <-arrival.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		open, changed := n.isOpen(dir)
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
