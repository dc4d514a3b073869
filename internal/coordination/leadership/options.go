package leadership

import "time"

// Options are the timings of leases and changes.
type Options struct {
	// Lease is how long an instance may use primaries after its last renewal
	// by itself. A change of a primary waits for it where an instance can't
	// be asked, so it bounds the failover of a primary that fails together
	// with an instance.
	Lease time.Duration
	// MaxLease is how long it may use them while half of the instances
	// vouch for it. It exceeds the usual outages of the store, 6 to 12 s.
	MaxLease time.Duration
	// HeartbeatInterval is the time between two renewals.
	HeartbeatInterval time.Duration
	// DutyLease is how long the duty stays with a promoter that does not
	// renew it. It covers a change: acknowledgements, promotion, confirmation.
	DutyLease time.Duration
	// DutyReleaseDelay is how long another instance waits after the holder's last
	// use of the duty. The platform may set it.
	DutyReleaseDelay time.Duration
	// PlannedDrain is how long a planned change lets requests at the old
	// primary finish; it is half a usual statement timeout.
	PlannedDrain time.Duration
	// TakeOverAfter is how long a change may take before another instance starts
	// it anew; it covers the waits of a change for leases. A promoter whose
	// run has ended is relieved sooner.
	TakeOverAfter time.Duration
	// FullRateMembers is the number of instances for which HeartbeatInterval holds;
	// with more, each renews less often, so that the store's load is bounded.
	FullRateMembers int
}

// DefaultOptions returns the options for a few dozen instances.
func DefaultOptions() Options {
	return Options{
		Lease: 4 * time.Second, MaxLease: 20 * time.Second, HeartbeatInterval: 2 * time.Second,
		DutyLease: 5 * time.Second, PlannedDrain: 400 * time.Millisecond,
		TakeOverAfter: 15 * time.Second, FullRateMembers: 40,
	}
}

const (
	// evaluateInterval is the time between two looks at the primaries.
	evaluateInterval = 100 * time.Millisecond
	// membersInterval is the time between two reads of the instances' rows
	// while nothing changes.
	membersInterval = 4 * time.Second
	// fastMembersInterval is that time while a primary is suspected or changed. The
	// instances tell each other their suspicions directly; the rows make up
	// for messages that are lost.
	fastMembersInterval = time.Second
	// heartbeatRetryInterval is the time between two tries to renew the lease while the
	// store refuses; several fit into what is left of the lease.
	heartbeatRetryInterval = 400 * time.Millisecond
	initialRetryInterval   = 50 * time.Millisecond
	// heartbeatTimeout bounds one renewal. The store's slow spells take 0.25 s; an
	// answer that takes longer is lost, and the renewal is sent again.
	heartbeatTimeout = 500 * time.Millisecond
	// acknowledgementInterval is the time between two reads of the
	// instances' rows while a change waits for them.
	acknowledgementInterval = 25 * time.Millisecond
	// leaseMargin covers a request that was sent just before the lease ended:
	// the usual statement timeout.
	leaseMargin = 800 * time.Millisecond
	// confirmationLead is how long before the lease's end other instances are
	// asked, vouchInterval the time between two questions, and vouchLasts how
	// long an answer counts: several questions may be lost meanwhile.
	confirmationLead     = 1500 * time.Millisecond
	confirmationInterval = 250 * time.Millisecond
	confirmationTTL      = time.Second
	// liveIntervals is how many renewals an instance may miss before it no
	// longer counts as live.
	liveIntervals = 2
	// isolatedAfter is how long nobody may answer before an instance counts as
	// isolated: three questions to the others, and a round trip each.
	isolatedAfter = 800 * time.Millisecond
	// tunnelPeerMaxAge is how old the last renewal may be of an instance that is
	// asked to carry a connection.
	tunnelPeerMaxAge = 8 * time.Second
	// staleRowAge is when the row of an instance that no longer renews it is
	// removed.
	staleRowAge = time.Minute
	// changeTimeout bounds one attempt at a change.
	changeTimeout = 30 * time.Second
	// statusTimeout bounds one question to a database.
	statusTimeout = 300 * time.Millisecond
	// stepDownGrace is how much longer than for the acknowledgements an old
	// primary is waited for: a round trip between regions and a connection.
	stepDownGrace = 60 * time.Millisecond
	// lastResortAfter is how long a change waits for a database that has heard
	// of the old primary's reign; usual crashes last less than 9 s.
	lastResortAfter = 20 * time.Second
	// statusInterval is the time between two questions to one database.
	statusInterval = 40 * time.Millisecond
	// promoteInterval is the time between two calls to promote while the
	// platform refuses.
	promoteInterval = 300 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to receive what the old
	// primary wrote last.
	catchUpTimeout = 1500 * time.Millisecond
	// promotionTimeout bounds the wait for a promotion to take effect; the
	// slowest known takes a second.
	promotionTimeout = 5 * time.Second
	// storeWriteTimeout bounds the retries of one store write in a change.
	storeWriteTimeout = 3 * time.Second
	// replicaProbeInterval is the time between two probes of a replica that is
	// doubted; the others serve its reads meanwhile.
	replicaProbeInterval = 500 * time.Millisecond
	// idleProbeAfter is how long a primary may go without an answer before it
	// is probed.
	idleProbeAfter = time.Second
	// staggerStep separates the instances that would start the same change, by
	// a few calls to the store and a message between regions.
	staggerStep = 120 * time.Millisecond
)
