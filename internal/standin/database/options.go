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

// Options describe one database.
type Options struct {
	ID state.DatabaseID
	// Address is the host:port to listen on. Port 0 picks a free port, which
	// Restart keeps. Empty means 127.0.0.1:0.
	Address    string
	DataCentre state.DataCentre
	// Slots is how many ordinary statements run at once; 0 means 3.
	Slots int
	// MaxConnections is how many connections are accepted, replication not
	// counted; 0 means 20.
	MaxConnections int
	// OpenDelay is how long opening a connection takes.
	OpenDelay time.Duration
	// ReplicationLag is how long after its arrival a replica appends and
	// applies an entry.
	ReplicationLag time.Duration
	// StatementTime is how long an ordinary statement holds its slot at least.
	StatementTime time.Duration
	// IdleInTransactionTimeout closes a connection that has written in a
	// transaction and then sends nothing for this long; 0 means 10 s.
	IdleInTransactionTimeout time.Duration
	// Primary starts the database as primary of Term. Otherwise it starts
	// fenced in Term, until it is told whom to follow.
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
