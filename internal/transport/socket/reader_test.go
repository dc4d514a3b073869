package socket

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The process is suspended while the other side replies, and the deadline passes
// meanwhile. The reply is there and must be delivered.
func TestDataThatIsReadyIsReadAfterTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	far, err := listener.Accept()
	require.NoError(t, err)
	defer far.Close()

	require.NoError(t, near.SetReadDeadline(time.Now().Add(-time.Second)))
	buffer := make([]byte, 8)
	_, err = Reader{near}.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing is ready")

	_, err = far.Write([]byte("reply"))
	require.NoError(t, err)
	for IsIdle(near) {
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, near.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = near.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a plain read gives up")
	n, err := Reader{near}.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "reply", string(buffer[:n]))
}
