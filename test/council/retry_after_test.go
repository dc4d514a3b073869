package council

import (
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// advice is what one refused request was told, and when.
type advice struct {
	at    time.Time
	after time.Duration
}

var retryAfterPattern = regexp.MustCompile(`no primary is available, retry after (\d+) ms`)

// collectAdvice writes through an instance until a write succeeds after refusals,
// and returns what the refused ones were told, and when the change was over.
func (tc *testCluster) collectAdvice(name string) (given []advice, over time.Time) {
	var mu sync.Mutex
	var writers sync.WaitGroup
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until); {
		writers.Go(func() {
			session, _ := tc.instances[name].engine.Open("desk", identity.Credential{})
			if session == nil {
				return
			}
			defer session.Close()
			_, reply := (&client{session: session, cluster: tc}).write("probe", "x")
			mu.Lock()
			defer mu.Unlock()
			if found := retryAfterPattern.FindStringSubmatch(reply.Detail); found != nil {
				millis, err := strconv.Atoi(found[1])
				require.NoError(tc.t, err)
				given = append(given, advice{time.Now(), time.Duration(millis) * time.Millisecond})
			} else if reply.Code == state.CodeNone && len(given) > 0 && over.IsZero() {
				over = time.Now()
			}
		})
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		ended := over
		mu.Unlock()
		if !ended.IsZero() {
			break
		}
	}
	writers.Wait()
	return given, over
}

// A primary is lost together with an instance, at different times after that has
// renewed its lease, which the change waits for. In nine of ten cases a request that comes back when it was told to finds a primary, and it was not
// kept away for much longer than the change took.
func TestRequestsAreToldWhenAChangeIsOver(t *testing.T) {
	const tooLong = 1500 * time.Millisecond
	for _, phase := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond} {
		run(t, fourInstances, func(tc *testCluster) {
			time.Sleep(25*time.Second + phase)
			tc.group.Database(1).Crash(true)
			tc.instances["d"].kill()
			cases, met := 0, 0
			var mu sync.Mutex
			var clients sync.WaitGroup
			for _, name := range without(fourInstances, []string{"d"}) {
				clients.Go(func() {
					given, over := tc.collectAdvice(name)
					mu.Lock()
					defer mu.Unlock()
					for _, told := range given {
						back := told.at.Add(told.after)
						cases++
						if !back.Before(over) && back.Sub(over) < tooLong {
							met++
						}
					}
				})
			}
			clients.Wait()
			require.NotZero(tc.t, cases)
			require.GreaterOrEqual(tc.t, 10*met, 9*cases, "%d of %d requests were told right", met, cases)
		})
	}
}
