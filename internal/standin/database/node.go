package database

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// node is what one database keeps across Kill and Restart: its log, its term
// and its role, and the two copies of the data that the log makes.
//
// Lock order: node.mu before engine.mu.
type node struct {
	id state.DatabaseID

	mu       sync.Mutex // protects all below; engines lock themselves besides
	term     state.Term
	role     state.Role
	promoter state.InstanceID
	primary  string // address of the primary that a replica follows
	log      entryLog
	// generation goes up with every change of term, role or primary.
	generation uint64
	// changed is closed and replaced whenever anything above changes, and
	// when the writer becomes free.
	changed chan struct{}
	// ended is closed and replaced with every new generation.
	ended chan struct{}
	// holder is the transaction that uses the writer, or nil.
	holder      *transaction
	lastContact time.Time

	writer *engine // runs the one open write transaction
	reader *engine // holds what is committed
}

// transaction is the open write transaction of one session.
type transaction struct {
	statements []Statement
	wrote      bool // a statement other than a savepoint was run
	aborted    bool // protected by node.mu; set when the node left its role
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
		n.appendEmptyLocked()
	}
	return n, nil
}

func (n *node) close() {
	n.reader.close()
	n.writer.close()
}

// notifyLocked wakes everybody who waits for a change.
func (n *node) notifyLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// appendEmptyLocked appends the entry that starts a term.
func (n *node) appendEmptyLocked() {
	n.log = append(n.log, Entry{Position: n.nextLocked()})
}

func (n *node) nextLocked() state.Position {
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

// changeLocked sets term and role, ends the open write transaction and every
// replication stream.
func (n *node) changeLocked(term state.Term, role state.Role, primary string) {
	n.abortHolderLocked()
	n.term, n.role, n.primary = term, role, primary
	n.generation++
	close(n.ended)
	n.ended = make(chan struct{})
	n.notifyLocked()
}

func (n *node) abortHolderLocked() {
	if n.holder == nil {
		return
	}
	n.holder.aborted = true
	n.holder = nil
	n.writer.rollback()
}

// fence accepts a term for one promoter. Repeating it changes nothing.
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

// promote makes the database the primary of the term for which the same
// promoter fenced it. Repeating it changes nothing.
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
	n.appendEmptyLocked()
	return n.statusLocked(), nil
}

// follow makes the database a replica of the primary of a term. The primary of
// that very term refuses.
func (n *node) follow(term state.Term, primary state.DatabaseID, address string) (state.DatabaseStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	leads := term == n.term && n.role == state.RolePrimary
	if term < n.term || leads || primary == n.id {
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
		if n.holder == nil {
			defer n.mu.Unlock()
			return n.takeWriterLocked()
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

func (n *node) takeWriterLocked() (*transaction, error) {
	if _, err := n.writer.exec("BEGIN"); err != nil {
		return nil, err
	}
	n.holder = &transaction{}
	return n.holder, nil
}

// run executes a statement within a write transaction. Statements that are to
// be replayed are recorded.
func (n *node) run(tx *transaction, kind statementKind, text string, args []any) (*result, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx.aborted {
		return nil, errReadOnly()
	}
	answer, err := runOn(n.writer, kind, text, args)
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
	return answer, nil
}

// runOn runs a statement on an engine and makes its command tag.
func runOn(target *engine, kind statementKind, text string, args []any) (*result, error) {
	if kind == kindRead || kind == kindLockingRead || returningPattern.MatchString(text) {
		answer, err := target.query(text, args...)
		if err != nil {
			return nil, err
		}
		answer.tag = commandTag(text, int64(len(answer.rows)))
		return answer, nil
	}
	affected, err := target.exec(text, args...)
	if err != nil {
		return nil, err
	}
	return &result{tag: commandTag(text, affected)}, nil
}

// commit ends a write transaction and appends its entry. The returned position
// is zero where nothing was written.
func (n *node) commit(tx *transaction) (state.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx.aborted {
		return state.Position{}, errReadOnly()
	}
	n.holder = nil
	defer n.notifyLocked()
	if !tx.wrote {
		n.writer.rollback()
		return state.Position{}, nil
	}
	entry := Entry{Position: n.nextLocked(), Statements: tx.statements}
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

// rollback ends a write transaction without an entry.
func (n *node) rollback(tx *transaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if tx.aborted {
		return
	}
	tx.aborted = true
	n.holder = nil
	n.writer.rollback()
	n.notifyLocked()
}

// entries returns a copy of the log.
func (n *node) entries() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Entry(nil), n.log...)
}

// killed ends the open write transaction, as the loss of the process would.
func (n *node) killed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.abortHolderLocked()
	n.notifyLocked()
}
