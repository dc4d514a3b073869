package execution

import (
	"bytes"
	"encoding/binary"
)

// Types of the backend messages that the owner interprets. Source: PostgreSQL
// documentation, "Message Formats".
const (
	msgParseComplete   = '1'
	msgCloseComplete   = '3'
	msgCommandComplete = 'C'
	msgErrorResponse   = 'E'
	msgParameterStatus = 'S'
	msgReadyForQuery   = 'Z'
	msgRowDescription  = 'T'
	msgDataRow         = 'D'
)

// positionParameter is the parameter in which a backend server reports the log
// position of a commit, before its ReadyForQuery.
const positionParameter = "log_position"

// parseParameterStatus splits the body of a ParameterStatus. Name and value are
// empty for parameters other than positionParameter.
func parseParameterStatus(body []byte) (name, value string, ok bool) {
	nameBytes, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return "", "", false
	}
	valueBytes, _, found := bytes.Cut(rest, []byte{0})
	if !found {
		return "", "", false
	}
	if string(nameBytes) != positionParameter {
		return "", "", true
	}
	return positionParameter, string(valueBytes), true
}

// appendCloseStatement appends a Close message for a named statement.
func appendCloseStatement(messages []byte, name string) []byte {
	messages = append(messages, 'C')
	messages = binary.BigEndian.AppendUint32(messages, uint32(len(name)+6))
	messages = append(messages, 'S')
	messages = append(messages, name...)
	return append(messages, 0)
}

// appendSync appends a Sync message.
func appendSync(messages []byte) []byte {
	return append(messages, 'S', 0, 0, 0, 4)
}

// appendQuery appends a simple Query message.
func appendQuery(messages []byte, sql string) []byte {
	messages = append(messages, 'Q')
	messages = binary.BigEndian.AppendUint32(messages, uint32(len(sql)+5))
	messages = append(messages, sql...)
	return append(messages, 0)
}

// parseCommandTag reads the tag of a CommandComplete.
func parseCommandTag(body []byte) string {
	tag, _, _ := bytes.Cut(body, []byte{0})
	return string(tag)
}

// appendCommandComplete appends a CommandComplete message.
func appendCommandComplete(messages []byte, tag string) []byte {
	messages = append(messages, msgCommandComplete)
	messages = binary.BigEndian.AppendUint32(messages, uint32(len(tag)+5))
	messages = append(messages, tag...)
	return append(messages, 0)
}

// appendReadyForQuery appends a ReadyForQuery message.
func appendReadyForQuery(messages []byte, txStatus byte) []byte {
	return append(messages, msgReadyForQuery, 0, 0, 0, 5, txStatus)
}

// firstColumn reads the first column of a DataRow in text format; a null or
// malformed column reads as empty.
func firstColumn(body []byte) string {
	const countBytes, lengthBytes = 2, 4
	if len(body) < countBytes+lengthBytes {
		return ""
	}
	length := int32(binary.BigEndian.Uint32(body[countBytes:]))
	start := countBytes + lengthBytes
	if length < 0 || start+int(length) > len(body) {
		return ""
	}
	return string(body[start : start+int(length)])
}

// appendErrorResponse appends an ErrorResponse of severity ERROR.
func appendErrorResponse(messages []byte, sqlState, text string) []byte {
	fields := []byte("SERROR\x00VERROR\x00C" + sqlState + "\x00M" + text + "\x00\x00")
	messages = append(messages, msgErrorResponse)
	messages = binary.BigEndian.AppendUint32(messages, uint32(len(fields)+4))
	return append(messages, fields...)
}
