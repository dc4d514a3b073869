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

// Magic identifies the protocol in the Hello. A client of another protocol is
// detected by its first frame.
const Magic = "cyclamenpin peer"

const nonceBytes = 32

// Errors of a handshake.
var (
	ErrNotAPeer       = errors.New("not the peer protocol")
	ErrAuthentication = errors.New("peer does not hold a shared key")
)

// RefusedError holds the reason that the peer gave for refusing the handshake.
type RefusedError struct {
	Message string
}

// Error returns a message that includes the peer's reason.
func (e *RefusedError) Error() string {
	return "peer refused the handshake: " + e.Message
}

// IdentityError reports that the peer is not the dialled instance, or is
// another incarnation of it.
type IdentityError struct {
	Want, Got Identity
}

// Error returns a message with both identities.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("dialled instance %s incarnation %d, but instance %s incarnation %d answered",
		e.Want.ID, e.Want.Incarnation, e.Got.ID, e.Got.Incarnation)
}

// Identity identifies one incarnation (run) of an instance.
type Identity struct {
	ID          state.InstanceID  `msgpack:"id"`
	Incarnation state.Incarnation `msgpack:"inc"`
	DataCentre  state.DataCentre  `msgpack:"dc"`
}

// Hello is the first frame of the handshake, sent by the dialling side.
type Hello struct {
	Magic    string       `msgpack:"magic"`
	Versions VersionRange `msgpack:"versions"`
	Identity Identity     `msgpack:"identity"`
	Nonce    []byte       `msgpack:"nonce"`
}

// Terms holds the accepting side's half of the handshake: its identity and
// supported versions, and the version that it chose.
type Terms struct {
	Versions VersionRange `msgpack:"versions"`
	Version  Version      `msgpack:"version"`
	Identity Identity     `msgpack:"identity"`
	Nonce    []byte       `msgpack:"nonce"`
}

// Challenge is the reply to a Hello and proves that the accepting side holds a
// shared key. The field Terms is an encoded Terms; it stays encoded so that both
// sides sign identical bytes.
type Challenge struct {
	Terms []byte `msgpack:"terms"`
	Proof []byte `msgpack:"proof"`
}

// Proof proves that the dialling side holds a shared key.
type Proof struct {
	Proof []byte `msgpack:"proof"`
}

// Welcome ends a successful handshake: the accepting side is ready for frames.
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

// HandshakeResult is the result of a successful handshake.
type HandshakeResult struct {
	Peer    Identity
	Version Version
	// PeerLeaving is set on the dialling side if the peer accepts no new
	// streams.
	PeerLeaving bool
}

const (
	roleClient = "client"
	roleServer = "server"
)

// transcript returns the bytes that a proof signs: the role, and the Hello and
// the Terms as encoded on the wire, which contain both nonces, version ranges
// and identities. The role prevents a reflection attack, in which one side's
// proof is sent back as the other's.
func transcript(role string, hello, terms []byte) []byte {
	data := append([]byte(role), 0)
	data = binary.BigEndian.AppendUint32(data, uint32(len(hello)))
	data = append(data, hello...)
	data = binary.BigEndian.AppendUint32(data, uint32(len(terms)))
	return append(data, terms...)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	return nonce
}

// Dial runs the dialling side of the handshake on conn. It returns an
// *IdentityError if the peer does not match want. An empty id in want matches
// any peer, and incarnation zero matches any incarnation of the instance.
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

// matches reports whether got is the expected identity i. An empty id matches
// any instance. Incarnation zero, as in the address of a seed, matches any
// incarnation.
func (i Identity) matches(got Identity) bool {
	if i.ID == "" {
		return true
	}
	return got.ID == i.ID && (i.Incarnation == 0 || got.Incarnation == i.Incarnation)
}

// checkTerms decodes authenticated terms. It verifies that the peer chose the
// highest common version and that it is the instance that was dialled.
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

// AdmitFunc decides whether to admit an authenticated peer. It returns the
// Welcome to send, or an error to refuse the peer. A nil AdmitFunc admits every
// peer.
type AdmitFunc func(HandshakeResult) (Welcome, error)

// Accept runs the accepting side of the handshake on conn. If it refuses the
// peer for its version or with a *RefusedError of admit, it sends the reason;
// for any other error the peer receives no details.
func Accept(conn io.ReadWriter, self Party, admit AdmitFunc) (HandshakeResult, error) {
	result, welcome, err := accept(conn, self, admit)
	if err != nil {
		refusal := Refuse{Message: publicReason(err), Versions: self.Versions}
		_ = writeBody(conn, KindRefuse, &refusal) // the handshake has failed already
		return HandshakeResult{}, err
	}
	if err := writeBody(conn, KindWelcome, &welcome); err != nil {
		return HandshakeResult{}, err
	}
	return result, nil
}

func accept(conn io.ReadWriter, self Party, admit AdmitFunc) (HandshakeResult, Welcome, error) {
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
	result := HandshakeResult{Peer: hello.Identity, Version: version}
	if admit == nil {
		return result, Welcome{}, nil
	}
	welcome, err := admit(result)
	return result, welcome, err
}

// readHello reads the Hello and returns it both decoded and as encoded on the
// wire.
func readHello(reader *FrameReader, ours VersionRange) (Hello, []byte, error) {
	frame, err := nextFrame(reader, KindHello, ours)
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
	frame, err := nextFrame(reader, kind, ours)
	if err != nil {
		return err
	}
	return Unmarshal(frame.Body, body)
}

// nextFrame reads the next frame, which must be of the given kind. A Refuse is
// returned as the error that it stands for.
func nextFrame(reader *FrameReader, kind Kind, ours VersionRange) (Frame, error) {
	frame, err := reader.Next()
	if err != nil {
		return Frame{}, eris.Wrap(err, "read handshake")
	}
	if frame.Kind == KindRefuse {
		return Frame{}, refusalError(frame.Body, ours)
	}
	if frame.Kind != kind || frame.Flags != 0 || frame.Stream != 0 {
		return Frame{}, eris.Wrapf(ErrNotAPeer, "frame kind %d in place of %d", frame.Kind, kind)
	}
	return frame, nil
}

// refusalError decodes a Refuse. It returns a *VersionError if the two version
// ranges do not overlap, and otherwise a *RefusedError.
func refusalError(body []byte, ours VersionRange) error {
	var refuse Refuse
	if err := Unmarshal(body, &refuse); err != nil {
		return err
	}
	if _, err := Negotiate(ours, refuse.Versions); err != nil {
		return err
	}
	return &RefusedError{Message: refuse.Message}
}

// publicReason returns the reason for a failed handshake that may be sent to a
// peer that is not authenticated.
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
