package ratelimit

import (
	"math"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Tolerance bounds the operations of a workspace in any Window: the limit's rate
// times Window plus its burst, times 1 plus Excess, plus Slack.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// defaultTolerance applies where the operators state limits but no tolerance.
var defaultTolerance = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

const (
	// shardCount is how many homes share the workspaces. All instances must agree
	// on it.
	shardCount = 4
	// minPledge and maxPledge bound how long a pledge lasts. It grows with the number
	// of instances, so that the messages of all of them to one home do not.
	minPledge         = 600 * time.Millisecond
	maxPledge         = 15 * time.Second
	pledgePerInstance = 7 * time.Millisecond
	// refreshesPerPledge is how often a pledge is renewed while it lasts.
	refreshesPerPledge = 4
	// clockDrift is the most by which two steady clocks differ in rate, and
	// pledgeMargin what is added for the reading of them.
	clockDrift   = 0.01
	pledgeMargin = 5 * time.Millisecond
	// answerWait is how long an operation waits for the home's answer: a few round
	// trips between regions.
	answerWait = 150 * time.Millisecond
	// partialAnswerWait is how long it waits while the home holds few pledges, because
	// it or others have just started.
	partialAnswerWait = 400 * time.Millisecond
	// silentAfter is how long a home may leave messages unanswered before the next
	// one is used, and avoidFor how long it is then left out.
	silentAfter = 300 * time.Millisecond
	avoidFor    = 3 * time.Second
	// fullWeight is the weight from which on a home's empty bucket means that the limit
	// is used up.
	fullWeight = 0.8
	// partialWait is how long the refusal of a home with less weight is remembered, and
	// partialRetry the least time after which a caller may then return.
	partialWait  = 50 * time.Millisecond
	partialRetry = 300 * time.Millisecond
	// returnBefore is how long before they expire unused permits are returned.
	returnBefore = 75 * time.Millisecond
	// prospectInterval is the time between two questions to a preferred home whether
	// it answers.
	prospectInterval = 200 * time.Millisecond
	// tickInterval is the time between two looks at the homes and the permits.
	tickInterval = 50 * time.Millisecond
	// standingInterval is the time between two reads of the instances' rows as they
	// are known here.
	standingInterval = 250 * time.Millisecond
	// minPermitLife is the least time for which permits are valid, a few round trips
	// between regions.
	minPermitLife = 60 * time.Millisecond
	// capacitySlack is the part of a tolerance's slack that buckets hold beyond the
	// burst, so that a burst of less than one operation admits something. The rest
	// is for operations without a permit.
	capacitySlack = 0.25
	// prefetchShare is the part of the permits' life for which permits are asked for
	// ahead of the operations.
	prefetchShare = 0.5
	// demandWindow is over what time the demand here is averaged.
	demandWindow = time.Second
	// maxItems bounds the workspaces in one message.
	maxItems = 256
	// maxWaiters bounds the operations of one workspace that wait for an answer.
	maxWaiters = 1024
)

// permitLife is how long permits are valid. Half of the tolerated excess covers
// permits that are used after they were granted.
func (t Tolerance) permitLife() time.Duration {
	return max(minPermitLife, time.Duration(t.Excess/2*float64(t.Window)))
}

// capacity is that of a bucket with full weight. Where permits live longer than the
// excess covers, it makes up for the difference.
func (t Tolerance) capacity(limit state.RateLimit) float64 {
	uncovered := t.permitLife().Seconds() - t.Excess/2*t.Window.Seconds()
	return max(0, limit.Burst+capacitySlack*t.Slack-limit.PerSecond*max(0, uncovered))
}

// withoutPermit is how many operations of a workspace all instances may together
// admit without a permit in any Window.
func (t Tolerance) withoutPermit(limit state.RateLimit) float64 {
	return t.Excess/2*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + (1-capacitySlack)*t.Slack
}

// pledgeLength is how long a pledge lasts beside the given number of instances.
func pledgeLength(instances int) time.Duration {
	return min(maxPledge, max(minPledge, time.Duration(instances)*pledgePerInstance))
}

// withDrift returns the time on one clock in which the given time surely passes on
// another one.
func withDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+clockDrift))) + pledgeMargin
}
