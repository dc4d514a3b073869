package network

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Place names one end of a path.
type Place string

// direction is one way between two places.
type direction struct {
	from, to Place
}

// Network knows the places, the delays between them and which ways are cut.
// Its mutex guards all fields below it and is a leaf lock.
type Network struct {
	mu     sync.Mutex
	places map[string]Place // by IP address
	delays map[direction]time.Duration
	cut    map[direction]bool
	// changed is closed and replaced at each cut and heal.
	changed chan struct{}
}

// New returns a network without places.
func New() *Network {
	return &Network{
		places: map[string]Place{}, delays: map[direction]time.Duration{},
		cut: map[direction]bool{}, changed: make(chan struct{}),
	}
}

// AddPlace says that servers with an IP address belong to a place.
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

// PartitionOneWay holds back all that is sent from one place to another.
func (n *Network) PartitionOneWay(from, to Place) {
	n.setCut(true, direction{from, to})
}

// Partition holds back all that is sent between two places.
func (n *Network) Partition(a, b Place) {
	n.setCut(true, direction{a, b}, direction{b, a})
}

// Heal connects two places again, in both directions.
func (n *Network) Heal(a, b Place) {
	n.setCut(false, direction{a, b}, direction{b, a})
}

func (n *Network) setCut(cut bool, ways ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, way := range ways {
		n.cut[way] = cut
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// passable reports whether a way is open, and returns a channel that is
// closed at the next cut or heal.
func (n *Network) passable(way direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[way], n.changed
}

func (n *Network) delay(way direction) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[way]
}

func (n *Network) placeOf(address string) (Place, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", eris.Wrap(err, "find place")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	place, known := n.places[host]
	if !known {
		return "", eris.Errorf("find place: no place has the address %s", host)
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

// DialContext opens a connection after one round trip. On a cut path it waits
// for the path to heal, as for lost packets, until ctx ends.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := d.network.placeOf(address)
	if err != nil {
		return nil, err
	}
	for _, way := range []direction{{d.from, to}, {to, d.from}} {
		if err := d.network.cross(ctx, way); err != nil {
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

// cross waits until a packet has crossed a way.
func (n *Network) cross(ctx context.Context, way direction) error {
	arrival := time.NewTimer(n.delay(way))
	defer arrival.Stop()
	select {
	case <-arrival.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		open, changed := n.passable(way)
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
