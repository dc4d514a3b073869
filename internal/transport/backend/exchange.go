package backend

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// staleMessages counts messages that belong to no running exchange, such as those of
// a reply that a database sent twice.
var staleMessages = metrics.NewCounter("cyclamenpin_backend_stale_messages_total")

var errRepeatedReply = eris.New("an earlier reply was repeated within a reply")

// Types of the messages that make up the reply to a marker. Source: PostgreSQL
// documentation, "Message Formats".
const (
	msgParseComplete        = '1'
	msgParameterDescription = 't'
	msgNoData               = 'n'
)

const (
	// markerBytes is the length of a marker: Parse of an unnamed, empty statement
	// with two parameter types, and Describe of it.
	markerBytes = 24
	// markerTypesOffset is the position of the parameter types in a marker.
	markerTypesOffset = 9
	// descriptionTypesOffset is the position of the parameter types in a
	// ParameterDescription.
	descriptionTypesOffset = 7
	// descriptionBytes is the length of a ParameterDescription of two parameters.
	descriptionBytes = descriptionTypesOffset + 8
	// reservedTypes is set in all type ids of markers. Databases assign type ids in
	// ascending order and in practice far below.
	reservedTypes = 1 << 31
)

// markerTemplate is a marker without its parameter types.
var markerTemplate = [markerBytes]byte{
	'P', 0, 0, 0, 16, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0,
	'D', 0, 0, 0, 6, 'S', 0,
}

// exchanges attributes replies to requests. An exchange is one Write and its reply,
// up to ReadyForQuery. Replies carry no id, so each exchange begins with a marker: a
// statement whose description echoes the parameter types that it was parsed with.
// Its two type ids are unique to the exchange. The statement is empty and never
// executed; a database describes it in any transaction state and without a
// snapshot. Messages before the echo belong to no running exchange and are dropped.
type exchanges struct {
	tag      uint32 // first type id, the same for all exchanges of a connection
	sequence uint32 // second type id, of the current exchange
	awaited  byte   // type of the marker message that comes next; 0 after the marker
	marker   [markerBytes]byte
}

func newExchanges() exchanges {
	e := exchanges{tag: rand.Uint32() | reservedTypes, marker: markerTemplate}
	binary.BigEndian.PutUint32(e.marker[markerTypesOffset:], e.tag)
	return e
}

// begin starts an exchange and returns its marker, valid until the next call.
func (e *exchanges) begin() []byte {
	e.sequence = (e.sequence + 1) | reservedTypes
	e.awaited = msgParameterDescription
	binary.BigEndian.PutUint32(e.marker[markerTypesOffset+4:], e.sequence)
	return e.marker[:]
}

// accept reports whether a message belongs to the running exchange and must be
// returned to the caller. An error means that the connection must be closed.
func (e *exchanges) accept(message []byte) (bool, error) {
	switch {
	case e.awaited == 0:
		if message[0] == msgParameterDescription && e.isMarker(message) {
			return false, errRepeatedReply
		}
		return true, nil
	case e.awaited == msgNoData && message[0] == msgNoData:
		e.awaited = 0
	case e.awaited == msgNoData:
		return false, eris.Errorf("message %q within the reply to a marker", message[0])
	case e.isMarker(message) && binary.BigEndian.Uint32(message[descriptionTypesOffset+4:]) == e.sequence:
		e.awaited = msgNoData
	case message[0] != msgParseComplete:
		staleMessages.Inc()
	}
	return false, nil
}

// isMarker reports whether a message describes a marker of this connection.
func (e *exchanges) isMarker(message []byte) bool {
	return len(message) == descriptionBytes && message[0] == msgParameterDescription &&
		binary.BigEndian.Uint32(message[descriptionTypesOffset:]) == e.tag
}
