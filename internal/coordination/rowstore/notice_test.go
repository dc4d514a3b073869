package rowstore

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReceiveNotice sends datagrams that are no notices, or hold odd rows.
func FuzzReceiveNotice(f *testing.F) {
	whole, err := msgpack.Marshal(notice{Table: "t", From: "a", Era: 1, Since: 2, Version: 3, Rows: []noticeRow{{Key: "k", Value: []byte("odd"), Version: 3}, {Key: "", Removed: true}}})
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	f.Add(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, maxNoticeBytes)...))      // nested deeply in an unknown field
	f.Add(append([]byte{0x81, 0xa1, 'r'}, 0xdd, 0xff, 0xff, 0xff, 0xff))                       // rows without end
	f.Add([]byte(strings.Replace(string(whole), "\xa1v\x03", "\xa1v\xcb\x7e\x37\xe4\x3c", 1))) // a version of another type
	f.Fuzz(func(t *testing.T, datagram []byte) {
		sharing := NewSharing("t", "b", nil, nil, bubbleClock{time.Now()}, zerolog.Nop())
		require.Nil(t, sharing.Receive(datagram))
		select {
		case received := <-sharing.received:
			require.Len(t, received.snapshot().Rows, len(received.Rows))
		default:
		}
	})
}
