package execution

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
)

// applySettings sets the connection's session parameters to those of the
// stream's session. Within a transaction they are already set.
func (s *ownerStream) applySettings(ctx context.Context, unit Unit, inTransaction bool) error {
	if inTransaction || s.pinned {
		return nil
	}
	if s.conn.settingsKnown && slices.Equal(s.conn.settings, s.request.Settings) {
		return nil
	}
	if unit.ChangesSettings {
		s.conn.settingsKnown = false
	}
	ctx, cancel := context.WithTimeout(ctx, s.owner.options.DialTimeout)
	defer cancel()
	if _, err := s.runInternal(ctx, s.conn.settingsScript(s.request.Settings)); err != nil {
		return err
	}
	s.conn.settings = s.request.Settings
	s.conn.settingsKnown = true
	return nil
}

// settingsScript resets all parameters of the connection and sets the session's
// own.
func (c *connection) settingsScript(settings []Setting) string {
	var script strings.Builder
	script.WriteString("RESET ALL")
	if !c.settingsKnown || slices.ContainsFunc(c.settings, Setting.SurvivesResetAll) {
		script.WriteString("; RESET session_authorization; RESET role")
	}
	for _, setting := range settings {
		script.WriteString("; SELECT set_config(")
		script.WriteString(quoteLiteral(setting.Name))
		script.WriteString(", ")
		script.WriteString(quoteLiteral(setting.Value))
		script.WriteString(", false)")
	}
	return script.String()
}

// internalReply holds the needed parts of the reply to the proxy's own SQL.
type internalReply struct {
	firstColumn string // of the last row
	commandTag  string // of the last statement
}

// runInternal runs the proxy's own SQL. An error response is returned as a
// *refusedError, after which the connection remains usable.
func (s *ownerStream) runInternal(ctx context.Context, sql string) (internalReply, error) {
	var reply internalReply
	if err := s.conn.backend.Write(ctx, appendQuery(nil, sql)); err != nil {
		return reply, err
	}
	var refused error
	for {
		message, err := s.receiveInternal(ctx)
		if err != nil {
			return reply, err
		}
		switch message.Type {
		case msgDataRow:
			reply.firstColumn = firstColumn(message.Body())
		case msgCommandComplete:
			reply.commandTag = parseCommandTag(message.Body())
		case msgParameterStatus:
			s.recordPosition(message)
		case msgErrorResponse:
			refused = &refusedError{sql: sql, sqlState: errorField(message.Body(), 'C'), text: errorField(message.Body(), 'M')}
		case msgReadyForQuery:
			s.txStatus = message.Body()[0]
			return reply, refused
		}
	}
}

// receiveInternal receives a message, under the silence watch of the running
// unit if there is one.
func (s *ownerStream) receiveInternal(ctx context.Context) (Message, error) {
	if s.unit == nil {
		return s.conn.backend.Receive(ctx)
	}
	s.unit.silence.startWaiting()
	defer s.unit.silence.messageReceived()
	return s.conn.backend.Receive(ctx)
}

// refusedError is the backend server's error response to the proxy's own SQL.
type refusedError struct {
	sql      string
	sqlState string
	text     string
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("run %q: %s (%s)", e.sql, e.text, e.sqlState)
}

// errorField returns the field of an ErrorResponse with the given type, or "".
func errorField(body []byte, field byte) string {
	for len(body) > 1 {
		value, rest, found := bytes.Cut(body[1:], []byte{0})
		if !found {
			return ""
		}
		if body[0] == field {
			return string(value)
		}
		body = rest
	}
	return ""
}
