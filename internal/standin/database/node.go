package database

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// node is the state of one database that survives Kill and Restart: its log, its
// term, its role, and two copies of the data built from the log.
//
// Lock order: node.mu before engine.mu.
type node struct {
	id state.DatabaseID

	mu       sync.Mutex // protects all fields below; the engines have their own locks as well
	term     state.Term
	role     state.Role
	promoter state.InstanceID
	primary  string // address of the primary that a replica follows
	log      entryLog
	// generation increases with every change of term, role or primary.
	generation uint64
	// changed is closed and replaced whenever any of the fields above changes,
	// and when the writer becomes free.
	changed chan struct{}
	// ended is closed and replaced with every new generation.
	ended chan struct{}
	// writeTx is the open transaction on the writer, or nil.
	writeTx     *transaction
	lastContact time.Time

	writer *engine // runs the only open write transaction
	reader *engine // holds the committed data
}

// transaction is the open write transaction of one session.
type transaction struct {
	statements []Statement
	wrote      bool // set once a write has run; savepoints do not count
	aborted    bool // protected by node.mu; set once the node or the session has aborted it
}

func newNode(options Options) (*node, error) {
	reader, err := newEngine(true)
	if err != nil {
		return nil, err
	}
	writer, err := newEngine(false)
	if err != nil {
		reader.close()
		return nil, err
	}
	n := &node{
		id:          options.ID,
		term:        options.Term,
		role:        state.RoleFenced,
		changed:     make(chan struct{}),
		ended:       make(chan struct{}),
		lastContact: time.Now(),
		writer:      writer,
		reader:      reader,
	}
	if options.Primary {
		n.role = state.RolePrimary
		n.appendTermStartLocked()
	}
	return n, nil
}

func (n *node) close() {
	n.reader.close()
	n.writer.close()
}

// notifyLocked wakes all goroutines that wait for a change.
func (n *node) notifyLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// appendTermStartLocked appends the empty entry with which each term starts.
func (n *node) appendTermStartLocked() {
	n.log = append(n.log, Entry{Position: n.nextPositionLocked()})
}

func (n *node) nextPositionLocked() state.Position {
	return state.Position{Term: n.term, Offset: uint64(len(n.log)) + 1}
}

func (n *node) statusLocked() state.DatabaseStatus {
	status := state.DatabaseStatus{
		Database: n.id,
		Term:     n.term,
		Role:     n.role,
		Log:      n.log.last(),
	}
	if n.role != state.RolePrimary {
		status.PrimaryContactAge = time.Since(n.lastContact)
	}
	return status
}

func (n *node) status() state.DatabaseStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

// changeLocked sets the term, the role and the followed primary. It aborts the
// open write transaction and ends all replication streams.
func (n *node) changeLocked(term state.Term, role state.Role, primary string) {
	n.abortWriteTxLocked()
	n.term, n.role, n.primary = term, role, primary
	n.generation++
	close(n.ended)
	n.ended = make(chan struct{})
	n.notifyLocked()
}

func (n *node) abortWriteTxLocked() {
	if n.writeTx == nil {
		return
	}
	n.writeTx.aborted = true
	n.writeTx = nil
	n.writer.rollback()
}

// fence accepts a higher term for one promoter and stops writes. Repeating the
// call changes nothing.
func (n *node) fence(term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term == n.term && promoter == n.promoter && promoter != "" {
		return n.statusLocked(), nil
	}
	if term <= n.term {
		return n.statusLocked(), n.refusalLocked("fence", term)
	}
	n.changeLocked(term, state.RoleFenced, "")
	n.promoter = promoter
	return n.statusLocked(), nil
}

// promote makes the database the primary of the term for which the same promoter
// fenced it. Repeating the call changes nothing.
func (n *node) promote(term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term != n.term || promoter != n.promoter || promoter == "" || n.role == state.RoleReplica {
		return n.statusLocked(), n.refusalLocked("promote", term)
	}
	if n.role == state.RolePrimary {
		return n.statusLocked(), nil
	}
	n.changeLocked(term, state.RolePrimary, "")
	n.appendTermStartLocked()
	return n.statusLocked(), nil
}

// follow makes the database a replica of the primary of a term. It fails on the
// primary of that term.
func (n *node) follow(term state.Term, primary state.DatabaseID, address string) (state.DatabaseStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isPrimary := term == n.term && n.role == state.RolePrimary
	if term < n.term || isPrimary || primary == n.id {
		return n.statusLocked(), n.refusalLocked("follow", term)
	}
	if term == n.term && n.role == state.RoleReplica && n.primary == address {
		return n.statusLocked(), nil
	}
	if term > n.term {
		n.promoter = ""
	}
	n.changeLocked(term, state.RoleReplica, address)
	return n.statusLocked(), nil
}

func (n *node) refusalLocked(step string, term state.Term) error {
	return &sqlError{codeNotInPrerequisite, fmt.Sprintf(
		"%s of term %d refused: %s is %s in term %d for promoter %q", step, term, n.id, n.role, n.term, n.promoter)}
}

// beginWrite waits for the writer and starts a transaction on it.
func (n *node) beginWrite(ctx context.Context) (*transaction, error) {
	for {
		n.mu.Lock()
		if n.role != state.RolePrimary {
			n.mu.Unlock()
			return nil, errReadOnly()
		}
		if n.writeTx == nil {
			defer n.mu.Unlock()
			return n.beginWriteTxLocked()
		}
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errCanceled()
		}
	}
}

func (n *node) beginWriteTxLocked() (*transaction, error) {
	if _, err := n.writer.exec("BEGIN"); err != nil {
		return nil, err
	}
	n.writeTx = &transaction{}
	return n.writeTx, nil
}

// run executes a statement in a write transaction and records the statements
// that replicas must execute: writes and savepoints.
func (n *node) run(tx *transaction, kind statementKind, text string, args []any) (*result, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx.aborted {
		return nil, errReadOnly()
	}
	res, err := runOn(n.writer, kind, text, args)
	if err != nil {
		return nil, err
	}
	switch kind {
	case kindWrite:
		tx.wrote = true
		tx.statements = append(tx.statements, Statement{SQL: text, Args: args})
	case kindSavepoint, kindRollbackTo:
		tx.statements = append(tx.statements, Statement{SQL: text, Args: args})
	}
	return res, nil
}

// runOn runs a statement on an engine and sets the command tag of the result.
func runOn(target *engine, kind statementKind, text string, args []any) (*result, error) {
	if kind == kindRead || kind == kindLockingRead || returningPattern.MatchString(text) {
		res, err := target.query(text, args...)
		if err != nil {
			return nil, err
		}
		res.tag = commandTag(text, int64(len(res.rows)))
		return res, nil
	}
	affected, err := target.exec(text, args...)
	if err != nil {
		return nil, err
	}
	return &result{tag: commandTag(text, affected)}, nil
}

// commit commits a write transaction and appends its entry. It returns the zero
// position if nothing was written.
func (n *node) commit(tx *transaction) (state.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx.aborted {
		return state.Position{}, errReadOnly()
	}
	n.writeTx = nil
	defer n.notifyLocked()
	if !tx.wrote {
		n.writer.rollback()
		return state.Position{}, nil
	}
	entry := Entry{Position: n.nextPositionLocked(), Statements: tx.statements}
	if err := n.reader.apply(entry); err != nil {
		n.writer.rollback()
		return state.Position{}, err
	}
	if _, err := n.writer.exec("COMMIT"); err != nil {
		return state.Position{}, err
	}
	n.log = append(n.log, entry)
	return entry.Position, nil
}

// rollback ends a write transaction without appending an entry.
func (n *node) rollback(tx *transaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx.aborted {
		return
	}
	tx.aborted = true
	n.writeTx = nil
	n.writer.rollback()
	n.notifyLocked()
}

// entries returns a copy of the log.
func (n *node) entries() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Entry(nil), n.log...)
}

// abortOpenWrite aborts the open write transaction, as the end of the database's
// process would.
func (n *node) abortOpenWrite() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.abortWriteTxLocked()
	n.notifyLocked()
}
