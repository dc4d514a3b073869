package database

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Transaction states as reported in ReadyForQuery.
const (
	txIdle   = byte('I')
	txOpen   = byte('T')
	txFailed = byte('E')
)

const (
	secretBytes          = 4
	logPositionParameter = "log_position"
)

// session is one client connection after its startup. Only the goroutine that
// serves it may use it, except for cancelStatement and activityState.
type session struct {
	run        *serverRun
	connection *faultConn
	backend    *pgproto3.Backend
	pid        uint32
	secret     []byte
	settings   *settings

	txState byte
	// tx is this session's open write transaction, or nil. In state txIdle it is
	// the implicit transaction of the current Query message, or of the messages
	// since the last Sync.
	tx         *transaction
	savepoints int
	readOnly   bool // the transaction was begun READ ONLY
	// position is the log position of the last commit, until it is reported to
	// the client.
	position state.Position

	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipping is set after an error in the extended protocol, until Sync.
	skipping bool

	mu     sync.Mutex // protects cancel
	cancel context.CancelFunc
}

func newSession(r *serverRun, connection *faultConn, backend *pgproto3.Backend, parameters map[string]string) *session {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return &session{
		run:        r,
		connection: connection,
		backend:    backend,
		secret:     secret,
		settings:   newSettings(parameters),
		txState:    txIdle,
		statements: make(map[string]*preparedStatement),
		portals:    make(map[string]*portal),
	}
}

// serve runs the session until its connection ends.
func (s *session) serve() {
	defer s.rollbackWrites()
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		value, _ := s.settings.get(name)
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	if s.sendReady() != nil {
		return
	}
	for {
		message, err := s.receive()
		if err != nil {
			return
		}
		if _, ends := message.(*pgproto3.Terminate); ends {
			return
		}
		if s.handle(message) != nil {
			return
		}
	}
}

// rollbackWrites rolls back the open write transaction, if any.
func (s *session) rollbackWrites() {
	if s.tx != nil {
		s.run.server.node.rollback(s.tx)
		s.tx = nil
	}
}

// receive reads one message. It closes the connection of a session that has an
// open write transaction and stays idle for IdleInTransactionTimeout, since all
// other writers wait for that transaction.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if s.tx != nil {
		timer := time.AfterFunc(s.run.server.options.IdleInTransactionTimeout, s.connection.closeQuietly)
		defer timer.Stop()
	}
	return s.backend.Receive()
}

// handle processes one message. An error ends the connection.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Query:
		if s.skipping {
			return nil
		}
		s.simpleQuery(message.String)
		return s.sendReady()
	case *pgproto3.Sync:
		s.sync()
		return s.sendReady()
	case *pgproto3.Flush:
		return s.backend.Flush()
	default:
		if s.skipping {
			return nil
		}
		if err := s.extended(message); err != nil {
			s.fail(err)
			s.skipping = true
		}
		return nil
	}
}

// sendReady queues the log position of a commit and ReadyForQuery, waits for the
// reply delay and flushes all queued messages.
func (s *session) sendReady() error {
	if !s.position.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: logPositionParameter, Value: s.position.String()})
		s.position = state.Position{}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txState})
	if !pause(s.run.ctx, time.Duration(s.run.server.replyDelay.Load())) {
		return s.run.ctx.Err()
	}
	return s.backend.Flush()
}

// fail queues an error response and marks an open transaction as failed. It rolls
// back the writes unless a savepoint could still restore the transaction.
func (s *session) fail(err error) {
	s.backend.Send(errorResponse(severityError, err))
	if s.txState == txOpen {
		s.txState = txFailed
	}
	if s.tx != nil && (s.savepoints == 0 || s.txState == txIdle) {
		s.run.server.node.rollback(s.tx)
		s.tx = nil
	}
}

// statementContext returns a context that cancelStatement cancels, and a function
// that the caller must call when the statement has ended.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.run.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}

// cancelStatement cancels the running statement, if any.
func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// simpleQuery runs the statements of one Query message in one implicit
// transaction.
func (s *session) simpleQuery(text string) {
	statements := splitStatements(text)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, statement := range statements {
		res, err := s.execute(statement, nil)
		if err == nil && i == len(statements)-1 {
			err = s.commitImplicit()
		}
		if err == nil {
			err = s.sendResult(res)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
}

func (s *session) sendResult(res *result) error {
	if res.columns != nil {
		s.backend.Send(res.description(nil))
	}
	for _, row := range res.rows {
		message, err := dataRow(res.columns, row, nil)
		if err != nil {
			return err
		}
		s.backend.Send(message)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}
