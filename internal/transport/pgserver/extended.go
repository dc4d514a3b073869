package pgserver

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/outcome"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/statement"
)

// preparedStatement is a statement that the client prepared, with its name on
// backend connections, which differs from the client's name.
type preparedStatement struct {
	class    statement.Class
	prepared execution.PreparedStatement
}

// batch collects the messages of the extended protocol up to Sync.
type batch struct {
	messages []byte
	classes  []statement.Class // classes of the executed statements
	prepare  []execution.PreparedStatement
	parses   []string
	portals  map[string]*preparedStatement
	// local is set once the batch holds a local statement, see isLocal. Such a
	// batch may not hold statements for a database.
	local bool
	// failed is set after an error; later messages are skipped up to Sync.
	failed bool
	begun  bool
}

func (b *batch) empty() bool {
	return !b.begun
}

func (b *batch) reset() {
	*b = batch{messages: b.messages[:0]}
	if cap(b.messages) > maxKeptBatchBytes {
		b.messages = nil
	}
}

// maxKeptBatchBytes bounds the buffer that is kept for the next batch.
const maxKeptBatchBytes = 4 << 10

// maxBatchBytes bounds the messages that a client may send before a Sync.
const maxBatchBytes = 32 << 20

// statementNamePrefix is the prefix of statement names on backend connections.
const statementNamePrefix = "cyp_"

// statementName derives a name from the statement's text and parameter types, so
// that all sessions share one prepared statement. A cryptographic hash prevents
// different statements from having the same name.
func statementName(message *pgproto3.Parse) string {
	digest := sha256.New()
	digest.Write([]byte(message.Query))
	for _, oid := range message.ParameterOIDs {
		digest.Write(binary.BigEndian.AppendUint32([]byte{0}, oid))
	}
	return statementNamePrefix + hex.EncodeToString(digest.Sum(nil)[:16])
}

func (c *conn) parse(message *pgproto3.Parse) error {
	c.batch.begun = true
	if c.batch.failed {
		return nil
	}
	class := statement.Classify(message.Query)
	if class.Kind == statement.KindUnsupported {
		return c.failBatch(unsupported(class))
	}
	if class.Statements > 1 {
		return c.failBatch(outcome.NewError("42601", "cannot insert multiple commands into a prepared statement"))
	}
	clientName := message.Name
	renamed := *message
	renamed.Name = statementName(message)
	encoded, err := renamed.Encode(nil)
	if err != nil {
		return c.failBatch(outcome.NewError(outcome.SQLStateProtocolViolation, err.Error()))
	}
	prepared := &preparedStatement{
		class:    class,
		prepared: execution.PreparedStatement{Name: renamed.Name, Message: encoded},
	}
	c.statements[clientName] = prepared
	if isLocal(class) {
		return c.sendLocalMessage(&pgproto3.ParseComplete{})
	}
	c.batch.parses = append(c.batch.parses, renamed.Name)
	return c.addEncoded(encoded)
}

func (c *conn) bind(message *pgproto3.Bind) error {
	c.batch.begun = true
	if c.batch.failed {
		return nil
	}
	prepared, found := c.statements[message.PreparedStatement]
	if !found {
		return c.failBatch(outcome.NewError(outcome.SQLStateUndefinedStatement, "prepared statement \""+message.PreparedStatement+"\" does not exist"))
	}
	if c.batch.portals == nil {
		c.batch.portals = map[string]*preparedStatement{}
	}
	c.batch.portals[message.DestinationPortal] = prepared
	if isLocal(prepared.class) {
		return c.sendLocalMessage(&pgproto3.BindComplete{})
	}
	c.requirePrepared(prepared)
	renamed := *message
	renamed.PreparedStatement = prepared.prepared.Name
	return c.addMessage(&renamed)
}

func (c *conn) describe(message *pgproto3.Describe) error {
	c.batch.begun = true
	if c.batch.failed {
		return nil
	}
	if message.ObjectType != 'S' {
		return c.describePortal(message)
	}
	prepared, found := c.statements[message.Name]
	if !found {
		return c.failBatch(outcome.NewError(outcome.SQLStateUndefinedStatement, "prepared statement \""+message.Name+"\" does not exist"))
	}
	if isLocal(prepared.class) {
		c.backend.Send(&pgproto3.ParameterDescription{})
		return c.describeLocal(prepared.class)
	}
	c.requirePrepared(prepared)
	return c.addMessage(&pgproto3.Describe{ObjectType: 'S', Name: prepared.prepared.Name})
}

func (c *conn) describePortal(message *pgproto3.Describe) error {
	if prepared := c.batch.portals[message.Name]; prepared != nil && isLocal(prepared.class) {
		return c.describeLocal(prepared.class)
	}
	return c.addMessage(message)
}

func (c *conn) describeLocal(class statement.Class) error {
	if class.Kind == statement.KindShow {
		return c.sendLocalMessage(rowDescription(class.SettingName))
	}
	return c.sendLocalMessage(&pgproto3.NoData{})
}

func (c *conn) execute(message *pgproto3.Execute) error {
	c.batch.begun = true
	if c.batch.failed {
		return nil
	}
	prepared := c.batch.portals[message.Portal]
	if prepared == nil {
		// The portal was opened by an earlier batch of the same transaction.
		return c.addMessage(message)
	}
	if c.session.TransactionLost() {
		return c.executeInLostTransaction(prepared.class)
	}
	if isLocal(prepared.class) {
		if err := c.runLocal(prepared.class, false); err != nil {
			return err
		}
		return c.markLocal()
	}
	c.batch.classes = append(c.batch.classes, prepared.class)
	return c.addMessage(message)
}

// executeInLostTransaction accepts only a statement that ends the transaction.
// The earlier messages of the batch get no replies: the client receives an error
// response in either case, here or from syncInLostTransaction, and expects no
// other reply before ReadyForQuery.
func (c *conn) executeInLostTransaction(class statement.Class) error {
	if !endsTransaction(class.Kind) {
		return c.failBatch(failedTransaction())
	}
	c.batch.classes = append(c.batch.classes, class)
	return nil
}

func (c *conn) closeStatement(message *pgproto3.Close) error {
	c.batch.begun = true
	if c.batch.failed {
		return nil
	}
	if message.ObjectType == 'S' {
		delete(c.statements, message.Name)
		// The statement on the backend connection is shared with other
		// sessions and stays. Closing a name that does not exist makes the
		// database send the CloseComplete that the client expects.
		return c.addMessage(&pgproto3.Close{ObjectType: 'S', Name: statementNamePrefix + "none"})
	}
	return c.addMessage(message)
}

func (c *conn) flush() error {
	if c.batch.empty() || c.batch.failed || c.batch.local {
		return nil
	}
	return c.failBatch(outcome.NewError(outcome.SQLStateFeatureNotSupported, "Flush before Sync is not supported by this proxy"))
}

// requirePrepared adds the statement to those that must exist on the backend
// connection, unless the batch itself prepares it.
func (c *conn) requirePrepared(prepared *preparedStatement) {
	for _, name := range c.batch.parses {
		if name == prepared.prepared.Name {
			return
		}
	}
	for _, needed := range c.batch.prepare {
		if needed.Name == prepared.prepared.Name {
			return
		}
	}
	c.batch.prepare = append(c.batch.prepare, prepared.prepared)
}

func (c *conn) addMessage(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(c.batch.messages)
	if err != nil {
		return c.failBatch(outcome.NewError(outcome.SQLStateProtocolViolation, err.Error()))
	}
	c.batch.messages = encoded
	return c.checkBatch()
}

func (c *conn) addEncoded(encoded []byte) error {
	c.batch.messages = append(c.batch.messages, encoded...)
	return c.checkBatch()
}

func (c *conn) checkBatch() error {
	if c.batch.local {
		return c.failBatch(outcome.NewError(outcome.SQLStateFeatureNotSupported, "statements on cyclamenpin parameters must be alone in their batch"))
	}
	if len(c.batch.messages) > maxBatchBytes {
		return c.failBatch(outcome.NewError("54000", "too much was sent before Sync"))
	}
	return nil
}

// sendLocalMessage sends the reply to one message of a local statement.
func (c *conn) sendLocalMessage(message pgproto3.BackendMessage) error {
	c.backend.Send(message)
	return c.markLocal()
}

func (c *conn) markLocal() error {
	c.batch.local = true
	if len(c.batch.messages) > 0 {
		return c.checkBatch()
	}
	return nil
}

// failBatch sends an error response for the batch, of which nothing runs.
func (c *conn) failBatch(response *pgproto3.ErrorResponse) error {
	c.batch.failed = true
	c.backend.Send(response)
	return nil
}

// sync runs the batch.
func (c *conn) sync() error {
	if c.batch.failed || c.batch.local {
		c.batch.reset()
		return c.sendReady()
	}
	if c.session.TransactionLost() {
		return c.syncInLostTransaction()
	}
	if len(c.batch.messages) == 0 {
		c.batch.reset()
		return c.sendReady()
	}
	if err := c.addMessage(&pgproto3.Sync{}); err != nil {
		return err
	}
	request := newUnitRequest(c.batch.classes...)
	if len(c.batch.classes) == 0 {
		request.freshness.Any = false // the schema must be as recent as for a read
	}
	request.unit.Extended = true
	request.unit.Messages = c.batch.messages
	request.unit.Prepare = c.batch.prepare
	request.unit.Parses = c.batch.parses
	err := c.run(request)
	c.batch.reset()
	return err
}

// syncInLostTransaction ends the lost transaction if the batch holds a statement
// that ends it. It replies with an error in either case.
func (c *conn) syncInLostTransaction() error {
	ends := len(c.batch.classes) > 0
	c.batch.reset()
	if !ends {
		return c.replyWithError(failedTransaction())
	}
	c.endLostTransaction()
	return c.replyWithError(outcome.NewError("40000", "the transaction was lost with its backend connection and has been rolled back"))
}
