package platformclient

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// statusCounter counts the responses by status, and removes their ETags if
// untagged is set.
type statusCounter struct {
	handler  http.Handler
	untagged bool
	statuses map[int]int
}

type countingWriter struct {
	http.ResponseWriter
	counter *statusCounter
}

func (w countingWriter) WriteHeader(status int) {
	if w.counter.untagged {
		w.Header().Del(headerETag)
	}
	w.counter.statuses[status]++
	w.ResponseWriter.WriteHeader(status)
}

func (c *statusCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.handler.ServeHTTP(countingWriter{w, c}, r)
}

// A conditional read must return the current records after any change, also
// after a restore of an older state. Unchanged responses must not be sent again.
func TestConditionalReadsAreCurrentAndCached(t *testing.T) {
	for _, untagged := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			standin := platform.NewServer()
			counter := &statusCounter{handler: standin.Handler(), untagged: untagged, statuses: map[int]int{}}
			server := httptest.NewServer(counter)
			defer server.Close()
			client, err := New(Options{BaseURL: server.URL, ReadBurst: 1 << 20, WriteBurst: 1 << 20}, zerolog.Nop())
			require.NoError(t, err)
			defer client.Close()
			snapshot, unchanged := standin.Snapshot(), 0
			listed := 0
			for step := range rapid.IntRange(1, 15).Draw(t, "steps") {
				key := fmt.Sprint("groups/", rapid.IntRange(0, 2).Draw(t, "key"))
				changed := true
				switch rapid.SampledFrom([]string{"put", "restore", "save", "announce", "nothing"}).Draw(t, "step") {
				case "put":
					standin.Put(key, []byte(fmt.Sprint(step)))
				case "restore":
					standin.Restore(snapshot)
				case "save":
					snapshot, changed = standin.Snapshot(), false
				case "announce":
					listed++
					require.NoError(t, client.Announce(t.Context(), state.Instance{ID: state.InstanceID(fmt.Sprint(step))}))
				default:
					changed = false
				}
				if !changed && step > 0 {
					unchanged++
				}
				records, err := client.Scan(t.Context(), "groups/")
				require.NoError(t, err)
				for _, record := range records {
					require.Equal(t, standin.Record(record.Key), record)
				}
				for number := range 3 {
					present := standin.Record(fmt.Sprint("groups/", number))
					require.Equal(t, present.Exists(), containsKey(records, present.Key), present.Key)
				}
				instances, err := client.Instances(t.Context())
				require.NoError(t, err)
				require.Len(t, instances, listed)
			}
			if untagged {
				require.Zero(t, counter.statuses[http.StatusNotModified])
				return
			}
			require.GreaterOrEqual(t, counter.statuses[http.StatusNotModified], 2*unchanged)
		})
	}
}

func containsKey(records []tables.Record, key string) bool {
	return slices.ContainsFunc(records, func(record tables.Record) bool { return record.Key == key })
}
