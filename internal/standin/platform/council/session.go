package council

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errEnded is returned for a session whose connection was closed.
var errEnded = errors.New("the connection has ended")

// errNoResponse is returned if the database's machine did not respond in time.
var errNoResponse = errors.New("no response from the database's machine")

// Session is one connection to a database.
type Session struct {
	database *Database
	caller   string
	// workspace is the workspace that the session states for itself.
	workspace state.WorkspaceID
	ended     chan struct{}
	endOnce   sync.Once

	values   map[string]string
	prepared map[string]preparedShape
	inTx     bool
	failed   bool
	readOnly bool
	writes   map[string]string
	ids      []string
	// unacknowledged is the commit that waits for replicas, nil if there is none.
	unacknowledged *Commit
}

type preparedShape struct {
	writes bool
	shape  string
}

// Connect opens a session for a caller. It refuses a caller that expects another
// group or, if id is set, another database.
func (d *Database) Connect(ctx context.Context, caller string, group state.GroupID, id state.DatabaseID) (*Session, state.Reply, error) {
	if err := d.checkReachable(ctx, caller); err != nil {
		return nil, state.Reply{}, err
	}
	d.awaitResumed()
	if d.group.options.ConnectTime > 0 {
		d.slots <- struct{}{}
		state.Pause(ctx, d.group.options.ConnectTime)
		<-d.slots
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.down {
		return nil, state.Reply{}, errEnded
	}
	if group != d.group.options.Group || id != "" && id != d.ID {
		return nil, state.Reply{Code: state.CodeMisdirected, Detail: string(d.ID)}, nil
	}
	if len(d.connections) >= d.group.options.MaxConnections {
		d.load.Rejected++
		return nil, state.Reply{Code: state.CodeTooManyConnections}, nil
	}
	session := &Session{
		database: d, caller: caller, ended: make(chan struct{}),
		values: make(map[string]string), prepared: make(map[string]preparedShape), writes: make(map[string]string),
	}
	d.load.Opened++
	d.connections[session] = struct{}{}
	return session, state.Reply{Position: d.visiblePosition()}, nil
}

// checkReachable returns at once if the caller can reach the database. Otherwise
// it blocks until ctx ends and returns errNoResponse.
func (d *Database) checkReachable(ctx context.Context, caller string) error {
	d.group.mu.Lock()
	unreachable := d.unresponsive || d.group.partitioned(caller, string(d.ID))
	d.group.mu.Unlock()
	if !unreachable {
		return nil
	}
	<-ctx.Done()
	return errNoResponse
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.end()
	s.database.group.mu.Lock()
	defer s.database.group.mu.Unlock()
	delete(s.database.connections, s)
}

func (s *Session) end() {
	s.endOnce.Do(func() { close(s.ended) })
}

// Ended returns a channel that is closed when the session has ended.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// Execute runs one statement and returns its reply.
func (s *Session) Execute(ctx context.Context, id, text string) (state.Reply, error) {
	if err := s.database.checkReachable(ctx, s.caller); err != nil {
		return state.Reply{}, err
	}
	select {
	case <-s.ended:
		return state.Reply{}, errEnded
	default:
	}
	reply, err := s.execute(ctx, id, text)
	if err != nil {
		return state.Reply{}, err
	}
	if err := s.database.checkReachable(ctx, s.caller); err != nil {
		return state.Reply{}, err
	}
	if s.consumeFault(&s.database.dropConnections, id) {
		s.Close()
		return state.Reply{}, errEnded
	}
	if s.consumeFault(&s.database.dropReplies, id) {
		<-ctx.Done()
		return state.Reply{}, errNoResponse
	}
	return reply, nil
}

// consumeFault decrements the counter of an injected fault, and reports whether
// the fault applies to this statement. Statements without a request id, which are
// the instance's own, are not affected.
func (s *Session) consumeFault(remaining *int, id string) bool {
	s.database.group.mu.Lock()
	defer s.database.group.mu.Unlock()
	if *remaining == 0 || id == "-" {
		return false
	}
	*remaining--
	return true
}

func (s *Session) execute(ctx context.Context, id, text string) (state.Reply, error) {
	after := state.Position{}
	if rest, found := strings.CutPrefix(text, "WAITPOS "); found {
		position, statement, _ := strings.Cut(rest, " ")
		after, text = parsePosition(position), statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "PREPARE" {
		name, rest, _ := strings.Cut(rest, " ")
		access, shape, _ := strings.Cut(rest, " ")
		if !s.prepare(&pooling.Prepare{Name: name, Shape: shape, Writes: access == "WRITE"}) {
			return s.addSessionState(state.Reply{Code: state.CodeBusy}), nil
		}
		return s.addSessionState(state.Reply{}), nil
	}
	if s.runWithoutSlot(verb, rest) {
		return s.addSessionState(state.Reply{}), nil
	}
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := s.prepared[name]
		if !known {
			return s.addSessionState(state.Reply{Code: state.CodeNoStatement}), nil
		}
		verb, rest = "READ", arguments
		if shape.writes {
			verb = "WRITE"
		}
	}
	if !s.acquireSlot(ctx, verb) {
		return s.addSessionState(state.Reply{Code: state.CodeBusy}), nil
	}
	defer func() { <-s.database.slots }()
	if verb == "STATUS" {
		s.database.group.mu.Lock()
		delay := s.database.statusDelay
		s.database.group.mu.Unlock()
		state.Pause(ctx, delay)
	}
	reply := s.run(id, verb, rest, after)
	if s.unacknowledged != nil && !s.awaitReplicas(ctx) {
		return state.Reply{}, errNoResponse
	}
	return s.addSessionState(reply), nil
}

// awaitReplicas waits until enough replicas have received the session's commit and
// then acknowledges it. It returns false if that has not happened by ctx's end.
func (s *Session) awaitReplicas(ctx context.Context) bool {
	d, commit := s.database, *s.unacknowledged
	s.unacknowledged = nil
	for ctx.Err() == nil {
		d.group.mu.Lock()
		replicated := !d.down && d.role == state.RolePrimary && d.replicated(commit.Position)
		if replicated {
			d.acknowledge(commit)
		}
		d.group.mu.Unlock()
		if replicated {
			return true
		}
		state.Pause(ctx, time.Millisecond)
	}
	return false
}

// prepare prepares a statement, and reports whether it did.
func (s *Session) prepare(statement *pooling.Prepare) bool {
	d := s.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.refusePrepares > 0 {
		d.refusePrepares--
		return false
	}
	s.prepared[statement.Name] = preparedShape{writes: statement.Writes, shape: statement.Shape}
	return true
}

// runWithoutSlot runs a statement that needs no slot, and reports whether it was
// one.
func (s *Session) runWithoutSlot(verb, rest string) bool {
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "CLOSE":
		delete(s.prepared, rest)
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "ROLLBACK":
		s.inTx, s.failed, s.ids = false, false, nil
		clear(s.writes)
	default:
		return false
	}
	return true
}

// acquireSlot waits for a slot and then for the service time. It returns false if
// the queue is full or a refusal was injected.
func (s *Session) acquireSlot(ctx context.Context, verb string) bool {
	d := s.database
	refused := d.group.recording.refuses()
	d.group.mu.Lock()
	full := d.waiting >= d.group.options.MaxQueued+d.group.options.Slots || d.refuseNext > 0 || refused
	if d.refuseNext > 0 {
		d.refuseNext--
	}
	if full {
		d.load.Refused++
	} else {
		d.waiting++
	}
	d.group.mu.Unlock()
	if full {
		return false
	}
	d.slots <- struct{}{}
	state.Pause(ctx, d.serviceTime(verb))
	d.awaitResumed()
	d.group.mu.Lock()
	d.waiting--
	d.group.mu.Unlock()
	return true
}

func (s *Session) run(id, verb, rest string, after state.Position) state.Reply {
	d := s.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if !d.visiblePosition().Covers(after) {
		return state.Reply{Code: state.CodeLagging}
	}
	isPrimary := d.role == state.RolePrimary
	switch verb {
	case "BEGIN":
		if rest == "" && !isPrimary {
			return state.Reply{Code: state.CodeReadOnly, Detail: string(d.ID)}
		}
		s.inTx, s.readOnly = true, rest != ""
		return state.Reply{}
	case "READ":
		if s.inTx && !s.readOnly && !isPrimary {
			return s.fail(state.CodeReadOnly)
		}
		proof := d.group.newProof(id)
		d.group.reads = append(d.group.reads, Read{ID: id, Proof: proof, Database: d.ID, Applied: d.visiblePosition(), At: time.Now(), Workspace: s.workspace, Caller: s.caller})
		return state.Reply{Rows: []string{s.lookUp(rest)}, Proof: proof}
	case "WRITE":
		return s.write(id, rest, isPrimary)
	case "COMMIT":
		return s.commit(id, isPrimary)
	case "STATUS":
		d.load.StatusQueries++
		return s.status()
	case "STEPDOWN":
		term, err := strconv.ParseUint(rest, 10, 64)
		if err == nil && isPrimary && d.term < state.Term(term) {
			d.role = state.RoleReplica
		}
		return s.status()
	default:
		return state.Reply{Code: state.CodeMalformed}
	}
}

func (s *Session) fail(code state.ErrorCode) state.Reply {
	s.failed = s.inTx
	return state.Reply{Code: code, Detail: string(s.database.ID)}
}

// lookUp returns the value of an item as the session sees it. It must be called
// with the group's lock held.
func (s *Session) lookUp(item string) string {
	if value, ok := s.writes[item]; ok {
		return value
	}
	d := s.database
	end := d.applied
	if d.role == state.RolePrimary {
		end = len(d.log)
	}
	for i := end - 1; i >= 0; i-- {
		if value, ok := d.log[i].items[item]; ok {
			return value
		}
	}
	return ""
}

func (s *Session) write(id, rest string, isPrimary bool) state.Reply {
	if !isPrimary || s.readOnly && s.inTx {
		return s.fail(state.CodeReadOnly)
	}
	item, data, _ := strings.Cut(rest, " ")
	if s.inTx {
		s.writes[item] = data
		s.ids = append(s.ids, id)
		return state.Reply{Proof: s.database.group.newProof(id)}
	}
	s.commitWrites(map[string]string{item: data}, []string{id})
	return state.Reply{Proof: s.database.group.newProof(id)}
}

func (s *Session) commit(id string, isPrimary bool) state.Reply {
	if !s.inTx || s.failed {
		return state.Reply{Code: state.CodeMalformed}
	}
	if len(s.writes) > 0 {
		if !isPrimary {
			return s.fail(state.CodeReadOnly)
		}
		s.commitWrites(maps.Clone(s.writes), s.ids)
	}
	s.inTx, s.ids = false, nil
	clear(s.writes)
	return state.Reply{Proof: s.database.group.newProof(id)}
}

// commitWrites commits writes, to be acknowledged by awaitReplicas where replicas must
// have received them. It must be called with the group's lock held.
func (s *Session) commitWrites(items map[string]string, ids []string) {
	s.database.commit(s, items, ids)
	if s.database.group.options.SyncReplicas > 0 {
		s.unacknowledged = &Commit{Position: s.database.receivedPosition(), IDs: ids, Workspace: s.workspace, Caller: s.caller}
	}
}

func (s *Session) status() state.Reply {
	d := s.database
	position := d.receivedPosition()
	row := fmt.Sprintf("%s %d %d.%d 0 0 0 %d", d.role, d.term, position.Term, position.Offset, len(d.connections))
	return state.Reply{Rows: []string{row}}
}

// addSessionState adds the transaction state and the visible position to a
// reply.
func (s *Session) addSessionState(reply state.Reply) state.Reply {
	switch {
	case s.inTx && s.failed:
		reply.Transaction = state.TransactionFailed
	case s.inTx:
		reply.Transaction = state.TransactionOpen
	}
	s.database.group.mu.Lock()
	defer s.database.group.mu.Unlock()
	reply.Position = s.database.visiblePosition()
	return reply
}

func parsePosition(text string) state.Position {
	term, offset, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(offset, 10, 64)
	return state.Position{Term: state.Term(t), Offset: n}
}
