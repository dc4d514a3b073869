package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawPosition(t *rapid.T, label string) Position {
	return Position{
		Term:   Term(rapid.Uint64().Draw(t, label+" term")),
		Offset: rapid.Uint64().Draw(t, label+" offset"),
	}
}

func TestPositionTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		position := drawPosition(t, "position")
		parsed, err := ParsePosition(position.String())
		require.NoError(t, err)
		require.Equal(t, position, parsed)
	})
}

func TestPositionOfLaterTermCoversAnyOffset(t *testing.T) {
	later := Position{Term: 2, Offset: 1}
	require.True(t, later.Covers(Position{Term: 1, Offset: 900}))
	require.False(t, Position{Term: 1, Offset: 900}.Covers(later))
}

func TestParsePositionRefusesBadText(t *testing.T) {
	for _, text := range []string{"", "7", "/", "7/", "/7", "a/1", "1/b", "1/2/3", "-1/2"} {
		_, err := ParsePosition(text)
		require.Error(t, err, text)
	}
}
