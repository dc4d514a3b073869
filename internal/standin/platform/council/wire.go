package council

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// This file reads and writes messages without the codec of the program under test, so
// that a fault of that codec shows.

// maxLineBytes is the maximum size of a line.
const maxLineBytes = 1 << 20

var errLineTooLong = errors.New("wire line is longer than 1 MiB")

// codeWords holds the words of the error codes.
var codeWords = map[state.ErrorCode]string{
	state.CodeBusy: "BUSY", state.CodeAborted: "ABORTED", state.CodeLagging: "LAGGING", state.CodeReadOnly: "READONLY",
	state.CodeMisdirected: "MOVED", state.CodeTooManyConnections: "MAXCONN", state.CodeFailed: "FAILED", state.CodeTimeout: "TIMEOUT",
	state.CodeUnknown: "UNKNOWN", state.CodeNoStatement: "NOSTMT", state.CodeNoDatabase: "NODB", state.CodeTooBig: "TOOBIG",
	state.CodeMalformed: "MALFORMED", state.CodeNotAuthorized: "NOAUTH",
}

// readLine returns the next line without the CR LF that ends it. Any other CR or LF
// belongs to the line.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > maxLineBytes:
			return "", errLineTooLong
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return "", err
		case len(line) > 1 && line[len(line)-2] == '\r':
			return string(line[:len(line)-2]), nil
		}
	}
}

// ReadReply reads a complete reply to a statement or a startup.
func ReadReply(r *bufio.Reader) (state.Reply, error) {
	var reply state.Reply
	for {
		line, err := readLine(r)
		if err != nil {
			return reply, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			reply.Rows = append(reply.Rows, rest)
		case "COMPLETE":
			if rest != "-" {
				reply.Proof = rest
			}
		case "ERROR":
			word, detail, _ := strings.Cut(rest, " ")
			reply.Code, reply.Detail = codeOf(word), detail
		case "READY":
			status, position, _ := strings.Cut(rest, " ")
			reply.Transaction = map[string]state.TransactionState{"T": state.TransactionOpen, "E": state.TransactionFailed}[status]
			if position != "-" {
				reply.Position = parsePosition(position)
			}
			return reply, nil
		default:
			return reply, eris.Errorf("wire reply: unknown word %q", word)
		}
	}
}

func codeOf(word string) state.ErrorCode {
	for code, candidate := range codeWords {
		if candidate == word {
			return code
		}
	}
	return state.CodeOther
}

// formatReply returns the messages of a reply.
func formatReply(reply state.Reply) []byte {
	var text strings.Builder
	for _, row := range reply.Rows {
		text.WriteString("ROW " + row + "\r\n")
	}
	switch {
	case reply.Code != state.CodeNone:
		text.WriteString(formatError(reply))
	case reply.Proof != "":
		text.WriteString("COMPLETE " + reply.Proof + "\r\n")
	default:
		text.WriteString("COMPLETE -\r\n")
	}
	return []byte(text.String() + formatReady(reply))
}

func formatError(reply state.Reply) string {
	line := "ERROR " + codeWords[reply.Code]
	if reply.Detail != "" {
		line += " " + reply.Detail
	}
	return line + "\r\n"
}

func formatReady(reply state.Reply) string {
	status := map[state.TransactionState]string{state.TransactionOpen: "T", state.TransactionFailed: "E"}[reply.Transaction]
	if status == "" {
		status = "I"
	}
	position := "-"
	if !reply.Position.IsZero() {
		position = fmt.Sprintf("%d.%d", reply.Position.Term, reply.Position.Offset)
	}
	return "READY " + status + " " + position + "\r\n"
}
