package pooling

const (
	// One in reserveDivisor connections is kept free for probes and for an
	// instance that replaces another one.
	reserveDivisor = 10
	// equalShare is the part of a database's connections that is divided equally,
	// so that an instance that has just started can serve before its demand is
	// known.
	equalShare = 0.3
	// fullMinimum is the least share that lets an instance run a statement while
	// a transaction is open. It applies if there are at least fullMinimumFactor
	// times as many connections as all instances need for it.
	fullMinimum       = 2
	fullMinimumFactor = 2
)

// Division holds what a group's connections are divided by.
type Division struct {
	// Instances is the number of instances, this one included.
	Instances int
	// OwnDemand is this instance's demand, TotalDemand that of all instances.
	// Both may be 0.
	OwnDemand, TotalDemand int
}

// share returns how many connections to a database this instance may open, of
// those that the database accepts. The shares of all instances add up to at most
// that number, unless there are more instances than connections.
func share(accepted int, division Division) int {
	usable := float64(accepted - accepted/reserveDivisor)
	instances := float64(max(1, division.Instances))
	minimum := 1.0
	if usable >= fullMinimumFactor*fullMinimum*instances {
		minimum = fullMinimum
	}
	if division.TotalDemand == 0 {
		return int(max(minimum, usable/instances))
	}
	minimum = max(minimum, equalShare*usable/instances)
	rest := max(0, usable-minimum*instances)
	return int(minimum + rest*float64(division.OwnDemand)/float64(division.TotalDemand))
}
