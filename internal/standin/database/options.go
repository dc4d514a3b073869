package database

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	defaultSlots                    = 3
	defaultMaxConnections           = 20
	defaultIdleInTransactionTimeout = 10 * time.Second
	firstTerm                       = state.Term(1)
)

// Options holds the options of one database.
type Options struct {
	ID state.DatabaseID
	// Address is the host:port to listen on. Port 0 picks a free port, which
	// Restart keeps. Empty means 127.0.0.1:0.
	Address    string
	DataCentre state.DataCentre
	// Slots is the maximum number of ordinary statements that run at the same
	// time; 0 means 3.
	Slots int
	// MaxConnections is the maximum number of open connections, not counting
	// replication; 0 means 20.
	MaxConnections int
	// OpenDelay is the time that opening a connection takes.
	OpenDelay time.Duration
	// ReplicationLag is the time for which a replica holds a received entry
	// before it appends and applies it.
	ReplicationLag time.Duration
	// StatementTime is the minimum time for which an ordinary statement holds
	// its slot.
	StatementTime time.Duration
	// IdleInTransactionTimeout is the time after which a connection with an open
	// write transaction is closed if it sends nothing; 0 means 10 s.
	IdleInTransactionTimeout time.Duration
	// Primary starts the database as the primary of Term. Otherwise it starts
	// fenced in Term and stays so until it is promoted or follows a primary.
	Primary bool
	// Term is the first term; 0 means 1.
	Term state.Term
}

func (o Options) withDefaults() Options {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.IdleInTransactionTimeout == 0 {
		o.IdleInTransactionTimeout = defaultIdleInTransactionTimeout
	}
	if o.Term == 0 {
		o.Term = firstTerm
	}
	return o
}
