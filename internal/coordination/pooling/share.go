package pooling

const (
	// reserveShare keeps one connection in this many free, for probes and for
	// an instance that takes the place of another.
	reserveShare = 10
	// equalPart of a database's connections is shared equally, so that an
	// instance that has just started can serve before its demand is known.
	equalPart = 0.3
	// fullLeast lets an instance serve a statement beside a transaction, and
	// roomyFactor is how many connections there must be for each instance's
	// fullLeast.
	fullLeast   = 2
	roomyFactor = 2
)

// Division tells among whom a group's connections are divided.
type Division struct {
	// Instances share them, this one included.
	Instances int
	// OwnDemand is this instance's demand, TotalDemand that of all instances; both may be 0.
	OwnDemand, TotalDemand int
}

// share returns how many of a database's connections an instance may open. The
// shares of all instances add up to no more than the database accepts, unless
// there are more instances than connections.
func share(accepted int, among Division) int {
	usable := float64(accepted - accepted/reserveShare)
	instances := float64(max(1, among.Instances))
	least := 1.0
	if usable >= roomyFactor*fullLeast*instances {
		least = fullLeast
	}
	if among.TotalDemand == 0 {
		return int(max(least, usable/instances))
	}
	least = max(least, equalPart*usable/instances)
	rest := max(0, usable-least*instances)
	return int(least + rest*float64(among.OwnDemand)/float64(among.TotalDemand))
}
