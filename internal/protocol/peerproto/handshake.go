package peerproto

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Magic starts the Hello, so that a stray client is told apart at once.
const Magic = "cyclamenpin peer"

const nonceBytes = 32

// Errors of a handshake.
var (
	ErrNotAPeer       = errors.New("not the peer protocol")
	ErrAuthentication = errors.New("peer does not hold a shared key")
)

// RefusedError is a peer's own reason for ending the handshake.
type RefusedError struct {
	Message string
}

// Error repeats the peer's message.
func (e *RefusedError) Error() string {
	return "peer refused the handshake: " + e.Message
}

// IdentityError says that another instance, or another run of it, answered
// than the one that was dialled.
type IdentityError struct {
	Want, Got Identity
}

// Error names both identities.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("dialled instance %s incarnation %d, but instance %s incarnation %d answered",
		e.Want.ID, e.Want.Incarnation, e.Got.ID, e.Got.Incarnation)
}

// Identity is one run of an instance.
type Identity struct {
	ID          state.InstanceID  `msgpack:"id"`
	Incarnation state.Incarnation `msgpack:"inc"`
	DataCentre  state.DataCentre  `msgpack:"dc"`
}

// Hello opens the handshake.
type Hello struct {
	Magic    string       `msgpack:"magic"`
	Versions VersionRange `msgpack:"versions"`
	Identity Identity     `msgpack:"identity"`
	Nonce    []byte       `msgpack:"nonce"`
}

// Terms is what the accepting side states of itself.
type Terms struct {
	Versions VersionRange `msgpack:"versions"`
	Version  Version      `msgpack:"version"`
	Identity Identity     `msgpack:"identity"`
	Nonce    []byte       `msgpack:"nonce"`
}

// Challenge answers a Hello and proves the accepting side's key. Terms is an
// encoded Terms, kept as bytes so that both sides sign the very same.
type Challenge struct {
	Terms []byte `msgpack:"terms"`
	Proof []byte `msgpack:"proof"`
}

// Proof proves the dialling side's key.
type Proof struct {
	Proof []byte `msgpack:"proof"`
}

// Welcome ends the handshake: the accepting side is ready for frames.
type Welcome struct {
	// Leaving is set by an instance that accepts no new streams.
	Leaving bool `msgpack:"leaving"`
}

// Refuse ends a handshake that cannot succeed. It is not authenticated.
type Refuse struct {
	Message  string       `msgpack:"message"`
	Versions VersionRange `msgpack:"versions"`
}

// Party is one side of a handshake.
type Party struct {
	Identity Identity
	Versions VersionRange
	Keys     *KeyRing
}

// HandshakeResult is what a successful handshake yields.
type HandshakeResult struct {
	Peer    Identity
	Version Version
	// PeerLeaving is set where the accepting side accepts no new streams.
	PeerLeaving bool
}

const (
	roleClient = "client"
	roleServer = "server"
)

// transcript is what both proofs sign: the Hello and the Terms as they crossed
// the network. They hold both nonces, version ranges and identities. The role
// keeps one side's proof from being sent back as the other's.
func transcript(role string, hello, terms []byte) []byte {
	script := append([]byte(role), 0)
	script = binary.BigEndian.AppendUint32(script, uint32(len(hello)))
	script = append(script, hello...)
	script = binary.BigEndian.AppendUint32(script, uint32(len(terms)))
	return append(script, terms...)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	return nonce
}

// Dial runs the dialling side of the handshake on conn. Where want is not
// zero, an *IdentityError is returned unless want's id answers, and its
// incarnation where that is not zero.
func Dial(conn io.ReadWriter, self Party, want Identity) (HandshakeResult, error) {
	keys := self.Keys.snapshot()
	if len(keys) == 0 {
		return HandshakeResult{}, ErrNoKeys
	}
	hello, err := Marshal(&Hello{
		Magic: Magic, Versions: self.Versions, Identity: self.Identity, Nonce: newNonce(),
	})
	if err != nil {
		return HandshakeResult{}, err
	}
	if err := writeFrame(conn, KindHello, hello); err != nil {
		return HandshakeResult{}, err
	}
	reader := NewFrameReader(conn, MaxHandshakeFrame)
	var challenge Challenge
	if err := readBody(reader, KindChallenge, &challenge, self.Versions); err != nil {
		return HandshakeResult{}, err
	}
	if !verify(keys, transcript(roleServer, hello, challenge.Terms), challenge.Proof) {
		return HandshakeResult{}, ErrAuthentication
	}
	terms, err := checkTerms(challenge.Terms, self, want)
	if err != nil {
		return HandshakeResult{}, err
	}
	proof := Proof{Proof: sign(keys[0], transcript(roleClient, hello, challenge.Terms))}
	if err := writeBody(conn, KindProof, &proof); err != nil {
		return HandshakeResult{}, err
	}
	var welcome Welcome
	if err := readBody(reader, KindWelcome, &welcome, self.Versions); err != nil {
		return HandshakeResult{}, err
	}
	return HandshakeResult{Peer: terms.Identity, Version: terms.Version, PeerLeaving: welcome.Leaving}, nil
}

// matches reports whether got is whom i names: an empty id names anyone, and
// the incarnation zero, as of a seed, any run of the instance.
func (i Identity) matches(got Identity) bool {
	if i.ID == "" {
		return true
	}
	return got.ID == i.ID && (i.Incarnation == 0 || got.Incarnation == i.Incarnation)
}

// checkTerms decodes authenticated terms and compares them with what this side
// would have chosen and whom it dialled.
func checkTerms(encoded []byte, self Party, want Identity) (Terms, error) {
	var terms Terms
	if err := Unmarshal(encoded, &terms); err != nil {
		return Terms{}, err
	}
	version, err := Negotiate(self.Versions, terms.Versions)
	if err != nil {
		return Terms{}, err
	}
	if version != terms.Version {
		return Terms{}, eris.Wrapf(ErrNotAPeer, "peer chose version %d in place of %d", terms.Version, version)
	}
	got := terms.Identity
	if !want.matches(got) {
		return Terms{}, &IdentityError{Want: want, Got: got}
	}
	return terms, nil
}

// AdmitFunc decides whether an authenticated peer is welcome, and whether to tell
// it that this instance is leaving. A nil AdmitFunc welcomes all.
type AdmitFunc func(HandshakeResult) (Welcome, error)

// Accept runs the accepting side of the handshake on conn. The peer is told of
// a version or gate refusal, but not why its authentication failed.
func Accept(conn io.ReadWriter, self Party, gate AdmitFunc) (HandshakeResult, error) {
	agreement, welcome, err := accept(conn, self, gate)
	if err != nil {
		refusal := Refuse{Message: publicReason(err), Versions: self.Versions}
		_ = writeBody(conn, KindRefuse, &refusal) // the handshake has failed anyhow
		return HandshakeResult{}, err
	}
	if err := writeBody(conn, KindWelcome, &welcome); err != nil {
		return HandshakeResult{}, err
	}
	return agreement, nil
}

func accept(conn io.ReadWriter, self Party, gate AdmitFunc) (HandshakeResult, Welcome, error) {
	keys := self.Keys.snapshot()
	if len(keys) == 0 {
		return HandshakeResult{}, Welcome{}, ErrNoKeys
	}
	reader := NewFrameReader(conn, MaxHandshakeFrame)
	hello, encodedHello, err := readHello(reader, self.Versions)
	if err != nil {
		return HandshakeResult{}, Welcome{}, err
	}
	version, err := Negotiate(self.Versions, hello.Versions)
	if err != nil {
		return HandshakeResult{}, Welcome{}, err
	}
	terms, err := Marshal(&Terms{
		Versions: self.Versions, Version: version, Identity: self.Identity, Nonce: newNonce(),
	})
	if err != nil {
		return HandshakeResult{}, Welcome{}, err
	}
	challenge := Challenge{Terms: terms, Proof: sign(keys[0], transcript(roleServer, encodedHello, terms))}
	if err := writeBody(conn, KindChallenge, &challenge); err != nil {
		return HandshakeResult{}, Welcome{}, err
	}
	var proof Proof
	if err := readBody(reader, KindProof, &proof, self.Versions); err != nil {
		return HandshakeResult{}, Welcome{}, err
	}
	if !verify(keys, transcript(roleClient, encodedHello, terms), proof.Proof) {
		return HandshakeResult{}, Welcome{}, ErrAuthentication
	}
	agreement := HandshakeResult{Peer: hello.Identity, Version: version}
	if gate == nil {
		return agreement, Welcome{}, nil
	}
	welcome, err := gate(agreement)
	return agreement, welcome, err
}

// readHello returns the Hello both decoded and as it crossed the network.
func readHello(reader *FrameReader, ours VersionRange) (Hello, []byte, error) {
	frame, err := nextOf(reader, KindHello, ours)
	if err != nil {
		return Hello{}, nil, err
	}
	var hello Hello
	if err := Unmarshal(frame.Body, &hello); err != nil {
		return Hello{}, nil, err
	}
	if hello.Magic != Magic || len(hello.Nonce) != nonceBytes {
		return Hello{}, nil, ErrNotAPeer
	}
	return hello, bytes.Clone(frame.Body), nil
}

func writeBody(conn io.Writer, kind Kind, body any) error {
	encoded, err := Marshal(body)
	if err != nil {
		return err
	}
	return writeFrame(conn, kind, encoded)
}

func writeFrame(conn io.Writer, kind Kind, body []byte) error {
	if _, err := conn.Write(AppendFrame(nil, Frame{Kind: kind, Body: body})); err != nil {
		return eris.Wrap(err, "write handshake")
	}
	return nil
}

// readBody reads and decodes the next frame, which must be of the given kind.
func readBody(reader *FrameReader, kind Kind, body any, ours VersionRange) error {
	frame, err := nextOf(reader, kind, ours)
	if err != nil {
		return err
	}
	return Unmarshal(frame.Body, body)
}

// nextOf reads the next frame. Any kind but the given one is an error; a
// Refuse is the peer's own.
func nextOf(reader *FrameReader, kind Kind, ours VersionRange) (Frame, error) {
	frame, err := reader.Next()
	if err != nil {
		return Frame{}, eris.Wrap(err, "read handshake")
	}
	if frame.Kind == KindRefuse {
		return Frame{}, refusal(frame.Body, ours)
	}
	if frame.Kind != kind || frame.Flags != 0 || frame.Stream != 0 {
		return Frame{}, eris.Wrapf(ErrNotAPeer, "frame kind %d in place of %d", frame.Kind, kind)
	}
	return frame, nil
}

func refusal(body []byte, ours VersionRange) error {
	var refuse Refuse
	if err := Unmarshal(body, &refuse); err != nil {
		return err
	}
	if _, err := Negotiate(ours, refuse.Versions); err != nil {
		return err
	}
	return &RefusedError{Message: refuse.Message}
}

// publicReason is what an unauthenticated peer is told of a failed handshake.
func publicReason(err error) string {
	var version *VersionError
	var refused *RefusedError
	switch {
	case errors.As(err, &version):
		return "no common protocol version"
	case errors.As(err, &refused):
		return refused.Message
	default:
		return "not authenticated"
	}
}
