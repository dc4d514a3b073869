package database

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Server is one database. Its log, term and role survive Kill and Restart.
type Server struct {
	options Options
	logger  zerolog.Logger
	node    *node
	gate    *gate

	lag                    atomic.Int64 // nanoseconds
	statementTime          atomic.Int64 // nanoseconds
	replyDelay             atomic.Int64 // nanoseconds
	replicationPartitioned atomic.Bool
	replyRepeat            atomic.Int32 // a ReplyRepeat

	mu      sync.Mutex // protects address and current
	address string
	current *serverRun // nil while killed
}

// Start starts a database that runs until Close, or until ctx ends.
func Start(ctx context.Context, options Options) (*Server, error) {
	options = options.withDefaults()
	node, err := newNode(options)
	if err != nil {
		return nil, eris.Wrapf(err, "start database %s", options.ID)
	}
	server := &Server{
		options: options,
		logger:  zerolog.Ctx(ctx).With().Str("database", string(options.ID)).Logger(),
		node:    node,
		gate:    newGate(),
		address: options.Address,
	}
	server.SetReplicationLag(options.ReplicationLag)
	server.SetStatementTime(options.StatementTime)
	if err := server.Restart(); err != nil {
		node.close()
		return nil, err
	}
	context.AfterFunc(ctx, server.Kill)
	return server, nil
}

// Addr returns the host:port on which the database listens, also while it is
// killed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close stops the database and frees its log and data.
func (s *Server) Close() {
	s.Kill()
	s.node.close()
}

// Describe returns the database in the form in which the platform lists it.
func (s *Server) Describe() state.Database {
	return state.Database{
		ID:             s.options.ID,
		Address:        s.Addr(),
		DataCentre:     s.options.DataCentre,
		Slots:          s.options.Slots,
		MaxConnections: s.options.MaxConnections,
	}
}

// Status returns the same as group_status, also while the database is killed or
// frozen.
func (s *Server) Status() state.DatabaseStatus {
	return s.node.status()
}

// Entries returns a copy of the log.
func (s *Server) Entries() []Entry {
	return s.node.entries()
}

// Fence has the effect of group_fence, also while killed or frozen.
func (s *Server) Fence(term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return s.node.fence(term, promoter)
}

// Promote has the effect of group_promote, also while killed or frozen.
func (s *Server) Promote(term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return s.node.promote(term, promoter)
}

// Follow has the effect of group_follow, also while killed or frozen.
func (s *Server) Follow(term state.Term, primary state.DatabaseID, address string) (state.DatabaseStatus, error) {
	return s.node.follow(term, primary, address)
}

func (s *Server) replicationLag() time.Duration {
	return time.Duration(s.lag.Load())
}
