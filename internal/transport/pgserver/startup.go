package pgserver

import (
	"context"
	"crypto/tls"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/outcome"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errConnectionDone ends a connection whose client has been sent its last
// message, or expects none, as after a cancel request.
var errConnectionDone = errors.New("connection done")

// maxStartupMessages bounds the number of messages up to the startup message,
// since a client may send encryption requests before it.
const maxStartupMessages = 4

// startup runs a connection up to its first ReadyForQuery.
func (c *conn) startup() error {
	c.net.SetDeadline(time.Now().Add(c.server.options.StartupTimeout))
	message, err := c.receiveStartup()
	if err != nil {
		return err
	}
	configuration := c.server.configurations.Current()
	if configuration == nil {
		return c.sendFatal(outcome.Response(state.NotRun(state.ReasonNoConfiguration, "start session", "", time.Second, nil)))
	}
	if c.server.isDraining() {
		return c.sendFatal(outcome.NewError(outcome.SQLStateCannotConnectNow, "the instance is leaving"))
	}
	if c.server.tooManyClients() {
		return c.sendFatal(outcome.NewError(outcome.SQLStateTooManyConnections, "the instance holds as many clients as it may"))
	}
	plan, err := c.authenticate(configuration, message.Parameters["user"])
	if err != nil {
		return err
	}
	if err := c.beginSession(configuration, plan, message.Parameters); err != nil {
		return err
	}
	c.net.SetDeadline(time.Time{})
	return nil
}

// receiveStartup returns the startup message. Before it, it replies to
// encryption requests. A cancel request is served and ends the connection.
func (c *conn) receiveStartup() (*pgproto3.StartupMessage, error) {
	for range maxStartupMessages {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, eris.Wrap(err, "receive startup message")
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, nil
		case *pgproto3.SSLRequest:
			if err := c.replyToSSLRequest(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{encryptionRefused}); err != nil {
				return nil, eris.Wrap(err, "reply to encryption request")
			}
		case *pgproto3.CancelRequest:
			c.serveCancel(message)
			return nil, errConnectionDone
		}
	}
	return nil, eris.New("receive startup message: too many encryption requests before it")
}

// Replies to an encryption request.
const (
	encryptionRefused  = 'N'
	encryptionAccepted = 'S'
)

// replyToSSLRequest switches the connection to TLS if TLS is configured.
// Unencrypted bytes that the client sent after its request are not treated as
// received over TLS: they are dropped with the old reader's buffer.
func (c *conn) replyToSSLRequest() error {
	config := c.server.options.TLS
	if config == nil || c.encrypted {
		_, err := c.net.Write([]byte{encryptionRefused})
		return eris.Wrap(err, "reply to encryption request")
	}
	if _, err := c.net.Write([]byte{encryptionAccepted}); err != nil {
		return eris.Wrap(err, "reply to encryption request")
	}
	encrypted := tls.Server(c.net, config)
	if err := encrypted.HandshakeContext(c.ctx); err != nil {
		return eris.Wrap(err, "encrypt client connection")
	}
	c.setNetConn(encrypted)
	c.encrypted = true
	return nil
}

func (c *conn) serveCancel(message *pgproto3.CancelRequest) {
	ctx, stop := context.WithTimeout(context.Background(), c.server.options.StartupTimeout)
	defer stop()
	key, ok := cancelKeyFromRequest(message)
	if !ok || c.server.Cancel(ctx, key) {
		return
	}
	if c.server.forwarder != nil {
		c.server.forwarder.ForwardCancel(ctx, key)
	}
}

// sendFatal sends a response of severity FATAL and returns the error that ends
// the connection.
func (c *conn) sendFatal(response *pgproto3.ErrorResponse) error {
	response.Severity = "FATAL"
	response.SeverityUnlocalized = "FATAL"
	c.backend.Send(response)
	if err := c.backend.Flush(); err != nil {
		return eris.Wrap(err, "send fatal error")
	}
	return errConnectionDone
}

// beginSession checks that the plan may use the database and starts the session.
func (c *conn) beginSession(configuration *state.Configuration, plan state.Plan, parameters map[string]string) error {
	group := state.GroupID(parameters["database"])
	limit, found := configuration.LimitOf(plan.ID)
	if !found || !limit.Allows(group) {
		return c.sendFatal(outcome.NewError(outcome.SQLStateInsufficientPrivilege,
			"the plan may not reach database "+string(group)))
	}
	token, err := parseToken(parameters[parameterToken], group)
	if err != nil {
		return c.sendFatal(outcome.NewError(outcome.SQLStateInvalidParameter, err.Error()))
	}
	identity := session.Identity{
		Plan: plan.ID, Group: group, Scope: limit.SessionScope, QueueTimeout: c.server.options.QueueTimeout,
	}
	c.session = c.server.sessions.NewSession(identity, token)
	c.setIdentity(plan.ID, group)
	c.key = c.server.cancels.add(c)
	for name, value := range parameters {
		if isClientParameter(name) {
			c.session.ChangeSetting(name, value)
		}
	}
	return c.sendStartupReply()
}

// isClientParameter reports whether a startup parameter is a session parameter
// that must be set on backend connections.
func isClientParameter(name string) bool {
	switch name {
	case "user", "database", "replication", "options", parameterToken:
		return false
	default:
		return len(name) > 0 && name[0] != '_'
	}
}

func (c *conn) sendStartupReply() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, parameter := range [][2]string{
		{"server_version", c.server.options.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.key.ProcessID, SecretKey: secretBytes(c.key)})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.StatusIdle})
	if err := c.backend.Flush(); err != nil {
		return eris.Wrap(err, "send startup reply")
	}
	return nil
}
