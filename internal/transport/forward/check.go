package forward

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// The parts of calls and replies become fields of lines. A peer's links aren't
// authenticated, and a text that isn't a field would pass for further fields or lines.
const (
	fieldEnd = " "
	lineEnd  = "\r\n"
)

func isLine(text string) bool { return !strings.Contains(text, lineEnd) }

func isWord(text string) bool { return isLine(text) && !strings.Contains(text, fieldEnd) }

// checkCall returns an error unless a call can be sent to a database as it is.
func checkCall(call forwarding.Call) error {
	if !isWord(call.ID) || !isWord(string(call.Workspace)) || !isLine(call.Text) {
		return eris.New("call: the id, the workspace or the text is not a field")
	}
	if p := call.Prepared; p != nil && (!isWord(p.Name) || !isLine(p.Shape)) {
		return eris.New("call: the prepared statement is not a field")
	}
	for name, value := range call.Values {
		if !isWord(name) || !isLine(value) {
			return eris.New("call: a session value is not a field")
		}
	}
	return nil
}

// checkReply returns an error unless a reply can be sent to a client as it is.
func checkReply(reply state.Reply) error {
	if !isLine(reply.Proof) || !isLine(reply.Detail) {
		return eris.New("answer: the proof or the detail is not a line")
	}
	for _, row := range reply.Rows {
		if !isLine(row) {
			return eris.New("answer: a row is not a line")
		}
	}
	return nil
}
