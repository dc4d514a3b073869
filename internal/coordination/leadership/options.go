package leadership

import "time"

// Options holds the timings of leases and changes.
type Options struct {
	// Lease is how long an instance may use primaries after its last renewal
	// without confirmations from others, or twice the time between two renewals if
	// that is longer. A change of a primary waits this long
	// for an instance that does not respond, so it bounds the failover time if
	// a primary fails together with an instance.
	Lease time.Duration
	// MaxLease is how long an instance may use primaries after its last renewal
	// while half of the instances confirm its lease. It exceeds the usual
	// outages of the store, 6 to 12 s.
	MaxLease time.Duration
	// HeartbeatInterval is the time between two renewals of the lease, and
	// MaxHeartbeatInterval the limit of its growth with the number of instances.
	HeartbeatInterval, MaxHeartbeatInterval time.Duration
	// DutyLease is how long a promoter holds the promotion duty without renewing
	// it. It covers a change: acknowledgements, promotion and the check that the
	// database leads.
	DutyLease time.Duration
	// DutyReleaseDelay is how long other instances must wait after the holder's
	// last use of the duty. The platform may set it.
	DutyReleaseDelay time.Duration
	// PlannedDrain is how long a planned change waits for requests on the old
	// primary to finish: half the usual statement timeout.
	PlannedDrain time.Duration
	// TakeOverAfter is how long a change may take before another instance restarts
	// it. It covers the time for which a change waits for leases to expire. If the
	// promoter's run has ended, the change is taken over sooner.
	TakeOverAfter time.Duration
	// FullRateMembers is the largest number of instances that renew at
	// HeartbeatInterval; with more, each renews less often and its lease is longer,
	// which bounds the load on the store.
	FullRateMembers int
	// SmallFleet is the largest number of instances that each watch all of the store's
	// tables themselves.
	SmallFleet int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Lease: 4 * time.Second, MaxLease: 20 * time.Second, HeartbeatInterval: 2 * time.Second, MaxHeartbeatInterval: 8 * time.Second,
		DutyLease: 5 * time.Second, PlannedDrain: 400 * time.Millisecond,
		TakeOverAfter: 15 * time.Second, FullRateMembers: 60, SmallFleet: 12,
	}
}

const (
	// evaluateInterval is the time between two evaluations of all primaries.
	evaluateInterval = 100 * time.Millisecond
	// membersInterval is the least time between two reads of the instances' rows
	// while nothing changes; with more than fullReadRateMembers instances it grows
	// in proportion, so that the reads of all instances together do not.
	membersInterval     = 4 * time.Second
	fullReadRateMembers = 40
	// rowReadIntervals is within how many read intervals before its last renewal an
	// instance must have read the rows for confirmations to count. Promoters rely on it.
	rowReadIntervals = 2
	// membersSettledAfter is how long after its start an instance reads the rows
	// again; instances that were started together have written theirs by then.
	membersSettledAfter = time.Second
	// fastMembersInterval replaces membersInterval while a primary is suspected or
	// being changed. The instances also send each other their suspicions
	// directly; reading the rows compensates for lost messages.
	fastMembersInterval = time.Second
	// heartbeatRetryInterval is the time between two attempts to renew the lease
	// after a failure; several fit into the rest of the lease.
	// initialRetryInterval applies until the instance is ready.
	heartbeatRetryInterval = 400 * time.Millisecond
	initialRetryInterval   = 50 * time.Millisecond
	// heartbeatTimeout is how long a renewal is waited for. While the store is slow
	// it takes 0.25 s; a response that takes longer may be lost, so that the renewal
	// is sent again, but still counts when it comes.
	heartbeatTimeout = 500 * time.Millisecond
	// collectedGrace is how much later than usual an instance renews by itself whose
	// last renewal another one sent; the rest of the lease allows several attempts.
	collectedGrace = 400 * time.Millisecond
	// slowCallTimeout bounds a call to the store for which its caller no longer
	// waits; it is the lease, which a later response could not renew. readTimeout is
	// how long reads are waited for, except the first of the instances' rows.
	slowCallTimeout = 4 * time.Second
	readTimeout     = 1500 * time.Millisecond
	// acknowledgementInterval is the time between two reads of the
	// instances' rows while a change waits for them.
	acknowledgementInterval = 25 * time.Millisecond
	// leaseMargin covers a request that was sent just before the lease expired;
	// it is the usual statement timeout.
	leaseMargin = 800 * time.Millisecond
	// leaseGrace is how long after the end of the lease statements under way may still
	// get their answer. leaseWatchInterval is the time between two checks whether it is
	// over: a timer would stand still while the machine is suspended. Both together,
	// and the closing of connections, take less than leaseMargin.
	leaseGrace         = 600 * time.Millisecond
	leaseWatchInterval = 50 * time.Millisecond
	// lateRemovalTime is how long after the start of a run a removal of the row of the
	// run before may still be carried out. rowGuardInterval is the time between two
	// renewals meanwhile, in fleets of up to FullRateMembers.
	lateRemovalTime  = 8 * time.Second
	rowGuardInterval = 200 * time.Millisecond
	// confirmationLead is how long before the lease expires an instance starts to
	// request confirmations from others, confirmationInterval the time between two
	// requests, and confirmationTTL how long a confirmation is valid: several
	// requests may be lost during that time.
	confirmationLead     = 1500 * time.Millisecond
	confirmationInterval = 250 * time.Millisecond
	confirmationTTL      = time.Second
	// minorityPatience is how long instances that depend on confirmations must have been
	// a minority before a change no longer waits for them: until their last confirmation
	// has ended, and what they sent before it.
	minorityPatience = confirmationTTL + leaseMargin
	// maxRestoreDelay bounds the wait of an instance for others to write back a record
	// that the store has lost.
	maxRestoreDelay = time.Second
	// settlementInterval is the time between two reads of TableEras while an instance
	// waits for the records of an era to be known.
	settlementInterval = 200 * time.Millisecond
	// promotionSettles is how long the promotion of a database that may be the primary
	// already may take to take effect.
	promotionSettles = 1500 * time.Millisecond
	// leaseIntervals is the least number of heartbeat intervals in a lease.
	leaseIntervals = 2
	// liveIntervals is the number of heartbeat intervals without a renewal after
	// which an instance no longer counts as live.
	liveIntervals = 2
	// isolatedAfter is how long neither the store nor the peers may respond before
	// an instance counts as isolated: three requests to the peers, and a round
	// trip each.
	isolatedAfter = 800 * time.Millisecond
	// tunnelInstanceMaxAge is the maximum age of the last heartbeat of an instance
	// that is used to tunnel a connection.
	tunnelInstanceMaxAge = 8 * time.Second
	// maxNeighbours is how many instances of the same data centre are asked about
	// a group.
	maxNeighbours = 2
	// staleRowAge is the time since its last renewal after which an instance's row
	// is removed.
	staleRowAge = time.Minute
	// changeTimeout bounds one attempt at a change.
	changeTimeout = 30 * time.Second
	// statusTimeout bounds one status query or step-down request to a database.
	statusTimeout = 300 * time.Millisecond
	// maxStatusTimeout bounds such a query to a database that was too slow for shorter
	// ones.
	maxStatusTimeout = 4 * time.Second
	// stepDownGrace is how long a change waits for the old primary to step down
	// after all acknowledgements have arrived. It covers a round trip between
	// regions and the opening of a connection.
	stepDownGrace = 60 * time.Millisecond
	// lastResortAfter is how long a change waits for a database that has received
	// the old primary's term; usual crashes last less than 9 s.
	lastResortAfter = 20 * time.Second
	// statusInterval is the time between two status queries to one database.
	statusInterval = 40 * time.Millisecond
	// promoteInterval is the time between two promotion calls while the platform
	// refuses them.
	promoteInterval = 300 * time.Millisecond
	// noPrimaryPatience is how long a group whose primary was never changed may have
	// none registered. Databases register again within about two seconds of the
	// store's return, and may start one after the other.
	noPrimaryPatience = 3 * time.Second
	// catchUpTimeout bounds the wait for a replica to receive the old
	// primary's last writes.
	catchUpTimeout = 1500 * time.Millisecond
	// callLifetime is how long after it was sent a promotion call without an answer may
	// still be carried out. It exceeds the usual partitions, 12 s.
	callLifetime = 15 * time.Second
	// silentCallPatience is how long a promotion call without an answer is waited for
	// before it is repeated.
	silentCallPatience = 8 * time.Second
	// silentMemberAfter is for how long nobody must have heard of a member of a replica set
	// without a registration, and silentMemberMisses how many queries of this instance it
	// must have left without a sign of life, before it is marked as gone.
	// absentQueryInterval is the time between two queries; stateHeardInterval that between
	// two statements of the row that it was heard of.
	silentMemberAfter   = 2 * time.Second
	silentMemberMisses  = 2
	absentQueryInterval = 300 * time.Millisecond
	stateHeardInterval  = time.Second
	// memberAskers is how many watchers ask the registered members of a replica set for
	// their positions, memberQueryInterval the time between two queries, and
	// memberQueryTimeout that for which one waits.
	memberAskers        = 3
	memberQueryInterval = time.Second
	memberQueryTimeout  = time.Second
	// forgetMarkedAfter is how long a database that is gone stays listed in the row of its
	// replica set, replicaSetRetryInterval the time after which a failed read or write of
	// the row is repeated.
	forgetMarkedAfter       = time.Minute
	replicaSetRetryInterval = 500 * time.Millisecond
	// earlierCallsInterval is the time between two checks whether the promotion calls of
	// earlier eras have ended.
	earlierCallsInterval = 500 * time.Millisecond
	// promotionTimeout bounds the wait for a promotion to take effect; the slowest
	// known promotion took one second.
	promotionTimeout = 5 * time.Second
	// storeWriteTimeout bounds the attempts at one store write in a change: one that
	// takes slowCallTimeout, and a lost one before it.
	storeWriteTimeout = slowCallTimeout + heartbeatTimeout
	// replicaProbeInterval is the time between two probes of a replica with recent
	// failures; other replicas serve its reads in the meantime.
	replicaProbeInterval = 500 * time.Millisecond
	// overloadedProbePause is the least time between two probes of a database that
	// runs but refuses or closes connections.
	overloadedProbePause = time.Second
	// replicaReplyMaxAge is the maximum age of a replica's reply that counts as
	// evidence against the primary. Replicas are probed more often than this
	// while the primary fails.
	replicaReplyMaxAge = 2 * time.Second
	// minIdleProbe and maxIdleProbe bound the time without a reply after which a
	// primary is probed.
	minIdleProbe = 200 * time.Millisecond
	maxIdleProbe = time.Second
	// positionTransit is how much older than idleProbeAfter an observed position
	// may be when a read uses it: an interval of the evaluation, a reply from
	// another region, shareInterval of the exchange and the reads' own margin.
	positionTransit = 500 * time.Millisecond
	// staggerStep is the delay between instances that would start the same
	// change. It covers a few calls to the store and a message between regions.
	staggerStep = 120 * time.Millisecond
)
