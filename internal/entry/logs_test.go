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

// blockedOutput is a standard output whose reader has stalled until release is
// closed.
type blockedOutput struct{ release chan struct{} }

func (o blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// Guards against a logger that blocks its callers while nothing reads standard
// output. Lines beyond the budget are counted as dropped.
func TestLoggingDoesNotBlockOnABlockedOutput(t *testing.T) {
	output := blockedOutput{release: make(chan struct{})}
	l := newLogs(output, "entry-1", 1)
	done := make(chan struct{})
	go func() {
		for range 3 * logBufferLines {
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
	require.Positive(t, l.stateChanges.dropped.Load())
	close(output.release)
}

// closedOutput is a standard output whose reader has closed it.
type closedOutput struct{}

func (closedOutput) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestLogSurvivesAClosedOutput(t *testing.T) {
	l := newLogs(closedOutput{}, "entry-1", 1)
	for range 100 {
		l.Info().Msg("line")
	}
	require.NoError(t, l.buffer.Close())
}

// safeBuilder is a strings.Builder for concurrent writers.
type safeBuilder struct {
	mu sync.Mutex
	strings.Builder
}

func (b *safeBuilder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Builder.Write(p)
}

// Guards against many request lines displacing lines on changes of the
// instance's state. One line reports how many lines were dropped.
func TestRequestLinesDoNotDisplaceStateChanges(t *testing.T) {
	var output safeBuilder
	l := newLogs(&output, "entry-1", 1)
	for range 5000 {
		l.requests.Info().Msg("statement")
		l.requests.Warn().Msg("statement")
	}
	l.Info().Msg("primary's record changed")
	l.report()
	require.NoError(t, l.buffer.Close())
	output.mu.Lock()
	defer output.mu.Unlock()
	text := output.String()
	require.Equal(t, ordinaryLines+failureLines, strings.Count(text, `"message":"statement"`))
	require.Contains(t, text, "primary's record changed")
	require.Contains(t, text, fmt.Sprintf(`"ordinary":%d`, 5000-ordinaryLines))
}

var _ io.Writer = blockedOutput{}
