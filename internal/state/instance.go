package state

// InstanceID names an entry instance. A restarted instance keeps its id and
// takes a new incarnation.
type InstanceID string

// Incarnation tells one run of an instance from another. A later run has a
// higher number.
type Incarnation uint64

// Instance is an entry instance as the platform's list and its peers know it.
type Instance struct {
	ID          InstanceID  `msgpack:"id" json:"id"`
	Incarnation Incarnation `msgpack:"inc" json:"incarnation"`
	DataCentre  DataCentre  `msgpack:"dc" json:"data_centre"`
	// PeerAddress is where it accepts peers, as host:port.
	PeerAddress string `msgpack:"peer" json:"peer_address"`
	// Leaving is set from the start of a graceful stop.
	Leaving bool `msgpack:"leaving" json:"leaving,omitempty"`
}
