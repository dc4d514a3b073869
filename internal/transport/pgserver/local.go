package pgserver

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/outcome"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/statement"
)

// allSettings is the name that stands for all parameters in RESET and DISCARD.
const allSettings = "all"

// textOID is the object id of the type text.
const textOID = 25

// isLocal reports whether the proxy runs the statement itself, as it does for
// SET, RESET and SHOW of its own parameters and for DISCARD ALL, which resets the
// session's state in the proxy. Such a statement is called local.
func isLocal(class statement.Class) bool {
	if class.Statements != 1 {
		return false
	}
	switch class.Kind {
	case statement.KindSet, statement.KindReset, statement.KindShow:
		return strings.HasPrefix(class.SettingName, parameterPrefix)
	case statement.KindDiscard:
		return class.SettingName == allSettings
	default:
		return false
	}
}

// runLocal runs a local statement. With simple, which stands for the simple query
// protocol, the reply includes the row description and ends with ReadyForQuery.
func (c *conn) runLocal(class statement.Class, simple bool) error {
	switch class.Kind {
	case statement.KindShow:
		return c.showParameter(class, simple)
	case statement.KindSet:
		if err := c.setParameter(class.SettingName, class.SettingValue); err != nil {
			return c.failLocal(outcome.NewError(outcome.SQLStateInvalidParameter, err.Error()), simple)
		}
		return c.completeLocal("SET", simple)
	case statement.KindReset:
		c.resetParameter(class.SettingName)
		return c.completeLocal("RESET", simple)
	default:
		return c.discardAll(simple)
	}
}

func (c *conn) completeLocal(tag string, simple bool) error {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	if !simple {
		return nil
	}
	return c.sendReady()
}

func (c *conn) failLocal(response *pgproto3.ErrorResponse, simple bool) error {
	c.backend.Send(response)
	if !simple {
		c.batch.failed = true
		return nil
	}
	return c.sendReady()
}

func (c *conn) setParameter(name, value string) error {
	switch name {
	case parameterToken:
		position, err := parseToken(value, c.group)
		if err != nil {
			return err
		}
		c.session.RaiseMinPosition(position)
	case parameterMaxStaleness:
		age, err := parseAge(value)
		if err != nil {
			return err
		}
		if allowed := c.planLimit().MaxStaleness(); age > allowed {
			return eris.Errorf("%s %s is beyond the plan's limit of %s", name, age, allowed)
		}
		c.maxAge = age
	case parameterRequestID:
		c.requestID = value
	default:
		return eris.Errorf("unknown parameter %q", name)
	}
	return nil
}

// parseAge parses a duration; 0 may be written without a unit.
func parseAge(value string) (time.Duration, error) {
	age, err := time.ParseDuration(value)
	if err != nil {
		return 0, eris.Wrapf(err, "parse %s", parameterMaxStaleness)
	}
	if age < 0 {
		return 0, eris.Errorf("%s may not be negative", parameterMaxStaleness)
	}
	return age, nil
}

func (c *conn) resetParameter(name string) {
	switch name {
	case parameterMaxStaleness:
		c.maxAge = 0
	case parameterRequestID:
		c.requestID = ""
	}
}

func (c *conn) showParameter(class statement.Class, simple bool) error {
	value := ""
	switch class.SettingName {
	case parameterToken:
		value = formatToken(c.group, c.session.MinPosition())
	case parameterMaxStaleness:
		value = c.maxAge.String()
	case parameterRequestID:
		value = c.requestID
	case parameterServedBy:
		value = string(c.session.ServedBy())
	default:
		return c.failLocal(outcome.NewError(outcome.SQLStateInvalidParameter, "unknown parameter "+class.SettingName), simple)
	}
	if simple {
		c.backend.Send(rowDescription(class.SettingName))
	}
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return c.completeLocal("SHOW", simple)
}

func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

func (c *conn) discardAll(simple bool) error {
	if c.session.Status() != session.StatusIdle {
		return c.failLocal(outcome.NewError("25001", "DISCARD ALL cannot run inside a transaction block"), simple)
	}
	c.session.Abandon()
	c.session.ResetAll()
	c.statements = map[string]*preparedStatement{}
	c.maxAge, c.requestID = 0, ""
	return c.completeLocal("DISCARD ALL", simple)
}
