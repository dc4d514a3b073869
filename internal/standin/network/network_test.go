package network

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const (
	testDelay = 20 * time.Millisecond
	testText  = "0123456789"
)

// connect returns a client's connection through a network and the server's end.
func connect(t *testing.T) (*Network, net.Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	n := New()
	n.AddPlace("there", "127.0.0.1")
	n.SetDelay("here", "there", testDelay)
	began := time.Now()
	client, err := n.From("here").DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 2*testDelay)
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return n, client, server
}

func TestBytesArriveInOrderAfterTheDelay(t *testing.T) {
	defer goleak.VerifyNone(t)
	_, client, server := connect(t)
	for _, ends := range [][2]net.Conn{{client, server}, {server, client}} {
		began := time.Now()
		for _, b := range []byte(testText) {
			_, err := ends[0].Write([]byte{b})
			require.NoError(t, err)
		}
		got := make([]byte, len(testText))
		_, err := io.ReadFull(ends[1], got)
		require.NoError(t, err)
		require.Equal(t, testText, string(got))
		require.GreaterOrEqual(t, time.Since(began), testDelay)
	}
	_, err := client.Write([]byte(testText))
	require.NoError(t, err)
	require.NoError(t, client.Close())
	rest, err := io.ReadAll(server)
	require.NoError(t, err)
	require.Equal(t, testText, string(rest), "what was written before the close arrives")
	require.NoError(t, server.Close())
}

func TestPartitionHoldsBytesAndDialsUntilHealed(t *testing.T) {
	n, client, server := connect(t)
	n.PartitionOneWay("there", "here")
	_, err := client.Write([]byte(testText))
	require.NoError(t, err)
	got := make([]byte, len(testText))
	_, err = io.ReadFull(server, got)
	require.NoError(t, err, "the other direction is open")
	_, err = server.Write([]byte(testText))
	require.NoError(t, err)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(3*testDelay)))
	_, err = client.Read(got)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testDelay)
	defer cancel()
	_, err = n.From("here").DialContext(ctx, "tcp", client.RemoteAddr().String())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	n.Heal("here", "there")
	require.NoError(t, client.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(client, got)
	require.NoError(t, err)
	require.Equal(t, testText, string(got))
}
