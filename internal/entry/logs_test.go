package entry

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuckOutput is a standard output that nobody reads.
type stuckOutput struct{ release chan struct{} }

func (o stuckOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// Pattern: nobody reads the log. The instance goes on, and the lines that don't
// fit are counted.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	output := stuckOutput{release: make(chan struct{})}
	l := newLogs(output, "entry-1", 1)
	done := make(chan struct{})
	go func() {
		for range 3 * logRing {
			l.Info().Msg("line")
			l.requests.Warn().Msg("request")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("a log line waited for its reader")
	}
	require.Positive(t, l.beliefs.leftOut.Load())
	close(output.release)
}

type closedOutput struct{}

func (closedOutput) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestLogSurvivesAClosedOutput(t *testing.T) {
	l := newLogs(closedOutput{}, "entry-1", 1)
	for range 100 {
		l.Info().Msg("line")
	}
	require.NoError(t, l.ring.Close())
}

type safeBuilder struct {
	mu sync.Mutex
	strings.Builder
}

func (b *safeBuilder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Builder.Write(p)
}

// A flood of request lines leaves room for what the instance came to believe,
// and a line tells how many were left out.
func TestRequestLinesDoNotHideBeliefs(t *testing.T) {
	var output safeBuilder
	l := newLogs(&output, "entry-1", 1)
	for range 5000 {
		l.requests.Info().Msg("statement")
		l.requests.Warn().Msg("statement")
	}
	l.Info().Msg("primary's record changed")
	l.report()
	require.NoError(t, l.ring.Close())
	output.mu.Lock()
	defer output.mu.Unlock()
	text := output.String()
	require.Equal(t, ordinaryLines+failureLines, strings.Count(text, `"message":"statement"`))
	require.Contains(t, text, "primary's record changed")
	require.Contains(t, text, fmt.Sprintf(`"ordinary":%d`, 5000-ordinaryLines))
}

var _ io.Writer = stuckOutput{}
