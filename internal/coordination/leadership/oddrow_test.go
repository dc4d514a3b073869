package leadership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A row or a message of another writer claims a list of four billion entries. Decoding it
// must not end the process.
func TestRowThatClaimsTooMuch(t *testing.T) {
	endless := []byte{0xdd, 0xff, 0xff, 0xff, 0xff}
	for field, into := range map[string]any{"calls": &dutyRecord{}, "demand": &heartbeat{}, "ack": &heartbeat{}, "other": &Record{}} {
		row := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		require.Error(t, decode("odd", append(row, endless...), into), field)
	}
	require.Error(t, decode("odd", append([]byte{0x81, 0xa1, 'r'}, endless...), &peerMessage{}))
}
