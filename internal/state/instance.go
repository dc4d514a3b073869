package state

// InstanceID identifies an entry instance. A restarted instance keeps its id
// and gets a new incarnation.
type InstanceID string

// Incarnation identifies one run of an instance. Later runs have higher
// numbers.
type Incarnation uint64

// Instance is an entry instance as the platform lists it and its peers see it.
type Instance struct {
	ID          InstanceID  `msgpack:"id" json:"id"`
	Incarnation Incarnation `msgpack:"inc" json:"incarnation"`
	DataCentre  DataCentre  `msgpack:"dc" json:"data_centre"`
	// PeerAddress is the host:port on which it accepts connections of peers.
	PeerAddress string `msgpack:"peer" json:"peer_address"`
	// Leaving is true from the start of a graceful stop.
	Leaving bool `msgpack:"leaving" json:"leaving,omitempty"`
}
