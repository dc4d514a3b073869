package pooling

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// load counts how the requests of one kind end.
type load struct {
	mu                sync.Mutex
	served, refused   int
	longestWait       time.Duration
	longestTilRefusal time.Duration
}

// offer sends requests of a kind, each of which holds a connection for work.
func (l *load) offer(t *testing.T, p *Pool, count int, request Request, patience, work time.Duration) {
	for range count {
		go func() {
			start := time.Now()
			conn, err := p.Acquire(t.Context(), request, start.Add(patience))
			waited := time.Since(start)
			l.mu.Lock()
			if err == nil {
				l.served++
				l.longestWait = max(l.longestWait, waited)
			} else {
				l.refused++
				l.longestTilRefusal = max(l.longestTilRefusal, waited)
			}
			l.mu.Unlock()
			if err == nil {
				time.Sleep(work)
				p.Release(conn, true)
			}
		}()
	}
}

// warmUp opens connections and teaches the pool how long they are held.
func warmUp(t *testing.T, p *Pool, connections int, work time.Duration) {
	var warm load
	for range 20 {
		warm.offer(t, p, connections, Request{Priority: 1}, time.Minute, work)
		time.Sleep(2 * work)
	}
	time.Sleep(time.Second)
	synctest.Wait()
	require.Zero(t, warm.refused)
}

// Answers a burst of long reads that can wait beside short writes that are due soon:
// the length of the reads' queue refuses no write, and reads that the writes leave no
// time for are refused when that is known and not at their deadline.
func TestBurstOfLongReadsRefusesNoShortWrite(t *testing.T) {
	const work, readPatience, writePatience = 55 * time.Millisecond, 1250 * time.Millisecond, 250 * time.Millisecond
	for _, connections := range []int{1, 3, 12} {
		t.Run(fmt.Sprintf("%d connections", connections), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testPool(&fakeDialer{}, connections)
				warmUp(t, p, connections, work)
				var reads, writes load
				reads.offer(t, p, 30*connections, Request{Priority: 2}, readPatience, work)
				synctest.Wait()
				for range 10 {
					writes.offer(t, p, connections, Request{Priority: 0}, writePatience, work)
					time.Sleep(2 * work)
				}
				time.Sleep(2 * readPatience)
				synctest.Wait()
				require.Zero(t, writes.refused)
				require.LessOrEqual(t, writes.longestWait, 2*work)
				require.Positive(t, reads.served)
				require.Positive(t, reads.refused)
				require.Less(t, reads.longestTilRefusal, readPatience)
				p.close()
			})
		})
	}
}

// Answers a long queue of requests that can wait: a request that is more urgent than
// all of them is told to come back when it would be served, not after the queue.
func TestRetryHintCountsOnlyRequestsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 50 * time.Millisecond
		p := testPool(&fakeDialer{}, 1)
		warmUp(t, p, 1, work)
		var reads load
		reads.offer(t, p, 100, Request{Priority: 2}, time.Minute, work)
		synctest.Wait()
		p.mu.Lock()
		urgent, patient := p.noConnectionError(0), p.noConnectionError(2)
		p.mu.Unlock()
		require.LessOrEqual(t, urgent.RetryAfter, 2*work)
		require.Greater(t, patient.RetryAfter, 50*work)
		p.close()
		time.Sleep(2 * work)
	})
}
