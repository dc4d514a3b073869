package forward

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Statements, values and replies arrive unchanged, whatever bytes they hold.
func TestMessagesArriveUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String()
		call := forwarding.Call{
			Group: "g", Database: "db", Born: rapid.Int64().Draw(t, "born"), Workspace: state.WorkspaceID(text.Draw(t, "workspace")),
			Primary: rapid.Bool().Draw(t, "primary"), Values: rapid.MapOf(text, text).Draw(t, "values"), ID: text.Draw(t, "id"), Text: text.Draw(t, "text"),
			Prepared: &forwarding.Prepared{Name: "p", Shape: text.Draw(t, "shape"), Writes: true}, After: state.Position{Term: 3, Offset: 9},
			Wait: time.Second, Left: 2 * time.Second,
		}
		answer := forwarding.Answer{Refusal: forwarding.RefusedNoConnection, RetryAfter: time.Second, Reply: state.Reply{
			Rows: rapid.SliceOfN(text, 1, 5).Draw(t, "rows"), Proof: "proof", Code: state.CodeFailed, Transaction: state.TransactionOpen, Position: state.Position{Term: 1, Offset: 2},
		}}
		data, err := appendFrame(nil, kindCall, 7, encodeCall(call))
		require.NoError(t, err)
		data, err = appendFrame(data, kindAnswer, 8, encodeAnswer(answer))
		require.NoError(t, err)
		r := bytes.NewReader(data)
		first, err := readFrame(r)
		require.NoError(t, err)
		gotCall, err := decodeCall(first.body)
		require.NoError(t, err)
		require.Equal(t, call, gotCall)
		second, err := readFrame(r)
		require.NoError(t, err)
		require.Equal(t, uint32(8), second.stream)
		gotAnswer, err := decodeAnswer(second.body)
		require.NoError(t, err)
		require.Equal(t, answer, gotAnswer)
	})
}

// Broken packets end a link without a panic, and take no memory for bytes that have
// not arrived.
func FuzzFrames(f *testing.F) {
	call, _ := appendFrame(nil, kindCall, 1, encodeCall(forwarding.Call{ID: "a", Text: "READ k", Values: map[string]string{"k": "v"}}))
	answer, _ := appendFrame(nil, kindAnswer, 1, encodeAnswer(forwarding.Answer{Reply: state.Reply{Rows: []string{"r"}}}))
	f.Add(append(call, answer...))
	f.Add([]byte{0, 255, 255, 255, 1, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			received, err := readFrame(r)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(received.body), len(data))
			_, _ = decodeCall(received.body)
			_, _ = decodeAnswer(received.body)
		}
	})
}
