package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// step is one part of the self test. It returns a description of the result for
// the output.
type step struct {
	name string
	run  func(context.Context, *selfTest) (string, error)
}

// selfTestTimeout bounds the whole self test.
const selfTestTimeout = 28 * time.Second

// selfTest holds the state that the steps share.
type selfTest struct {
	stack *Stack
	// acknowledged are the ids of the rows whose insertion was acknowledged.
	acknowledged []int64
	reads        readShare
	failoverGap  time.Duration
}

// SelfTest runs a short workload against a running installation. It prints one
// line per step and returns an error if any step failed. It stops one instance.
func SelfTest(ctx context.Context, stack *Stack, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, selfTestTimeout)
	defer cancel()
	test := &selfTest{stack: stack}
	failed := 0
	for _, step := range selfTestSteps() {
		result, err := step.run(ctx, test)
		if err != nil {
			failed++
			fmt.Fprintf(output, "FAIL  %-28s %v\n", step.name, err)
			continue
		}
		fmt.Fprintf(output, "ok    %-28s %s\n", step.name, result)
	}
	fmt.Fprintf(output, "reads served by replicas: %.1f%% of %d\n", 100*test.reads.share(), test.reads.total)
	fmt.Fprintf(output, "failover gap: %s from the kill to the next acknowledged write\n", test.failoverGap.Round(time.Millisecond))
	if failed > 0 {
		return eris.Errorf("%d of the self test's steps failed", failed)
	}
	return nil
}

func selfTestSteps() []step {
	return []step{
		{"write", stepWrite},
		{"read your writes", stepReadYourWrites},
		{"session moves", stepSessionMoves},
		{"request runs at most once", stepAtMostOnce},
		{"primary killed", stepPrimaryKilled},
		{"limit reached", stepLimitReached},
		{"edits in force", stepEdits},
		{"graceful stop", stepGracefulStop},
	}
}

// readShare counts all reads and those that replicas served.
type readShare struct {
	byReplicas int
	total      int
}

func (r readShare) share() float64 {
	if r.total == 0 {
		return 0
	}
	return float64(r.byReplicas) / float64(r.total)
}
