package peerproto

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func key(text string) []byte {
	return []byte("shared test key " + text)
}

func party(id state.InstanceID, versions VersionRange, keys ...[]byte) Party {
	ring, err := NewKeyRing(keys...)
	if err != nil {
		panic(err)
	}
	return Party{Identity: Identity{ID: id, Incarnation: 7, DataCentre: "dc"}, Versions: versions, Keys: ring}
}

// runHandshake runs both sides over a pipe and returns the result and the error
// of each.
func runHandshake(client, server Party, want Identity, admit AdmitFunc) (dialled, accepted HandshakeResult, dialErr, acceptErr error) {
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		accepted, acceptErr = Accept(far, server, admit)
		far.Close()
	}()
	dialled, dialErr = Dial(near, client, want)
	near.Close()
	<-done
	return dialled, accepted, dialErr, acceptErr
}

func TestHandshakeSucceedsOnlyWithCommonKeyAndVersion(t *testing.T) {
	names := []string{"a", "b", "c"}
	drawKeys := func(t *rapid.T, label string) [][]byte {
		var keys [][]byte
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID).Draw(t, label) {
			keys = append(keys, key(name))
		}
		return keys
	}
	drawVersions := func(t *rapid.T, label string) VersionRange {
		lowest := rapid.Uint16Range(1, 4).Draw(t, label)
		return VersionRange{Version(lowest), Version(lowest + rapid.Uint16Range(0, 2).Draw(t, label+" more"))}
	}
	holds := func(keys [][]byte, one []byte) bool {
		for _, held := range keys {
			if bytes.Equal(held, one) {
				return true
			}
		}
		return false
	}
	rapid.Check(t, func(t *rapid.T) {
		clientKeys, serverKeys := drawKeys(t, "client keys"), drawKeys(t, "server keys")
		client := party("c", drawVersions(t, "client"), clientKeys...)
		server := party("s", drawVersions(t, "server"), serverKeys...)
		dialled, accepted, dialErr, acceptErr := runHandshake(client, server, server.Identity, nil)
		lowest := max(client.Versions.Lowest, server.Versions.Lowest)
		highest := min(client.Versions.Highest, server.Versions.Highest)
		if lowest > highest {
			var version *VersionError
			require.ErrorAs(t, dialErr, &version)
			require.ErrorAs(t, acceptErr, &version)
			return
		}
		if !holds(clientKeys, serverKeys[0]) {
			require.ErrorIs(t, dialErr, ErrAuthentication)
			require.Error(t, acceptErr)
			return
		}
		if !holds(serverKeys, clientKeys[0]) {
			require.Error(t, dialErr)
			require.ErrorIs(t, acceptErr, ErrAuthentication)
			return
		}
		require.NoError(t, dialErr)
		require.NoError(t, acceptErr)
		require.Equal(t, HandshakeResult{Peer: server.Identity, Version: highest}, dialled)
		require.Equal(t, HandshakeResult{Peer: client.Identity, Version: highest}, accepted)
	})
}

func TestHandshakeReportsWrongIncarnation(t *testing.T) {
	server := party("s", SupportedVersions(), key("a"))
	client := party("c", SupportedVersions(), key("a"))
	_, _, err, _ := runHandshake(client, server, Identity{ID: "s", Incarnation: 6}, nil)
	var identity *IdentityError
	require.ErrorAs(t, err, &identity)
	require.Equal(t, state.Incarnation(7), identity.Got.Incarnation)
}

func TestHandshakeWithSeedAcceptsAnyIncarnation(t *testing.T) {
	server := party("s", SupportedVersions(), key("a"))
	client := party("c", SupportedVersions(), key("a"))
	result, _, err, _ := runHandshake(client, server, Identity{ID: "s"}, nil)
	require.NoError(t, err)
	require.Equal(t, state.Incarnation(7), result.Peer.Incarnation)
	_, _, err, _ = runHandshake(client, server, Identity{ID: "other"}, nil)
	var identity *IdentityError
	require.ErrorAs(t, err, &identity)
}

func TestAdmissionRefusalReachesDialler(t *testing.T) {
	server := party("s", SupportedVersions(), key("a"))
	client := party("c", SupportedVersions(), key("a"))
	_, _, err, _ := runHandshake(client, server, server.Identity, func(HandshakeResult) (Welcome, error) {
		return Welcome{}, &RefusedError{Message: "superseded"}
	})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "superseded", refused.Message)
}

func TestServerProofIsRejectedAsClientProof(t *testing.T) {
	near, far := net.Pipe()
	done := make(chan error, 1)
	go func() {
		_, err := Accept(far, party("s", SupportedVersions(), key("a")), nil)
		far.Close()
		done <- err
	}()
	hello := Hello{Magic: Magic, Versions: SupportedVersions(), Nonce: newNonce()}
	require.NoError(t, writeBody(near, KindHello, &hello))
	var challenge Challenge
	reader := NewFrameReader(near, MaxHandshakeFrame)
	require.NoError(t, readBody(reader, KindChallenge, &challenge, SupportedVersions()))
	require.NoError(t, writeBody(near, KindProof, &Proof{Proof: challenge.Proof}))
	near.Close()
	require.ErrorIs(t, <-done, ErrAuthentication)
}

func TestKeyRingRejectsEmptyListsAndShortKeys(t *testing.T) {
	ring, err := NewKeyRing(key("a"))
	require.NoError(t, err)
	require.ErrorIs(t, ring.Set(), ErrNoKeys)
	require.Error(t, ring.Set([]byte("short")))
	require.Equal(t, [][]byte{key("a")}, ring.snapshot())
	require.NotContains(t, ring.String(), "shared test key")
}

// flippingConn flips the lowest bit of the byte at offset at of the data read
// through it.
type flippingConn struct {
	net.Conn
	at, seen int
	flipped  bool
}

func (c *flippingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.at >= c.seen && c.at < c.seen+n {
		data[c.at-c.seen] ^= 1
		c.flipped = true
	}
	c.seen += n
	return n, err
}

func TestAlteredHandshakeFails(t *testing.T) {
	versions := VersionRange{Lowest: 1, Highest: 3}
	client, server := party("c", versions, key("a")), party("s", versions, key("a"))
	check := func(t *rapid.T) {
		near, far := net.Pipe()
		require.NoError(t, near.SetDeadline(time.Now().Add(time.Second)))
		altered := &flippingConn{Conn: far, at: rapid.IntRange(0, 300).Draw(t, "byte")}
		done := make(chan error)
		go func() {
			_, err := Accept(altered, server, nil)
			far.Close()
			done <- err
		}()
		_, err := Dial(near, client, server.Identity)
		near.Close()
		require.Equal(t, altered.flipped, <-done != nil)
		require.Equal(t, altered.flipped, err != nil)
	}
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ rapid.TB }{t}, check) })
}

type scriptedConn struct {
	io.Reader
	io.Writer
}

func FuzzHandshake(f *testing.F) {
	client, server := party("c", SupportedVersions(), key("a")), party("s", SupportedVersions(), key("a"))
	hello, err := Marshal(&Hello{Magic: Magic, Versions: SupportedVersions(), Nonce: make([]byte, nonceBytes)})
	require.NoError(f, err)
	f.Add(AppendFrame(nil, Frame{Kind: KindHello, Body: hello}))
	refuse, err := Marshal(&Refuse{Message: "no", Versions: SupportedVersions()})
	require.NoError(f, err)
	f.Add(AppendFrame(nil, Frame{Kind: KindRefuse, Body: refuse}))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Accept(scriptedConn{bytes.NewReader(data), io.Discard}, server, nil)
		require.Error(t, err, "no fixed bytes may pass a fresh challenge")
		_, err = Dial(scriptedConn{bytes.NewReader(data), io.Discard}, client, server.Identity)
		require.Error(t, err)
	})
}
