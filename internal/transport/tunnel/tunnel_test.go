package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// echo sends each line back to its sender.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				line, err := reader.ReadBytes('\n')
				if err != nil {
					return
				}
				if _, err := conn.Write(line); err != nil {
					return
				}
			}
		}()
	}
}

func startServer(t *testing.T, known map[state.DatabaseID]string) (server *Server, address string) {
	t.Helper()
	listener := listen(t)
	server = NewServer(func(id state.DatabaseID) (string, bool) {
		address, ok := known[id]
		return address, ok
	}, zerolog.Nop())
	go server.Serve(listener)
	return server, listener.Addr().String()
}

func TestTunnelCopiesBothWays(t *testing.T) {
	database := listen(t)
	go echo(database)
	server, address := startServer(t, map[state.DatabaseID]string{"d": database.Addr().String()})
	conn, err := Open(t.Context(), address, "d")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for _, line := range []string{"one\n", "two\n"} {
		_, err := conn.Write([]byte(line))
		require.NoError(t, err)
		got, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, line, got)
	}
	conn.Close()
	require.Eventually(t, func() bool { return len(server.slots) == 0 }, 5*time.Second, 5*time.Millisecond, "the closed tunnel still takes a slot")
}

// When the database closes its connection, the client's end of the tunnel must
// be closed too.
func TestTunnelClosesWhenDatabaseCloses(t *testing.T) {
	database := listen(t)
	go func() {
		conn, err := database.Accept()
		if err == nil {
			conn.Close()
		}
	}()
	_, address := startServer(t, map[state.DatabaseID]string{"d": database.Addr().String()})
	conn, err := Open(t.Context(), address, "d")
	require.NoError(t, err)
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, context.DeadlineExceeded)
}

func TestUnknownDatabaseIsRefused(t *testing.T) {
	_, address := startServer(t, nil)
	_, err := Open(t.Context(), address, "d")
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, state.DatabaseID("d"), refused.Database)
	require.Contains(t, refused.Reason, "not registered")
}

func TestFrameThatIsTooLongEndsTheTunnel(t *testing.T) {
	_, address := startServer(t, nil)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(binary.BigEndian.AppendUint16(nil, maxFrameBytes+1))
	require.NoError(t, err)
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
}
