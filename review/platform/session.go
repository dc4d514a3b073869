package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// session is one connection to a database.
type session struct {
	database *database
	conn     net.Conn
	values   map[string]string
	prepared map[string]string // access and shape by name
	inTx     bool
	readOnly bool
	failed   bool
	writes   map[string]string
}

// answer is a database's answer to one statement.
type answer struct {
	rows  []string
	proof string
	// code and detail are set for an error.
	code, detail string
}

func (d *database) serve(conn net.Conn) {
	defer conn.Close()
	if d.isDark() {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	s, refusal := d.open(conn, fields)
	if s == nil {
		fmt.Fprintf(conn, "ERROR %s\r\n", refusal)
		return
	}
	defer d.forget(s)
	d.group.mu.Lock()
	ready := s.ready()
	d.group.mu.Unlock()
	if _, err := conn.Write([]byte(ready)); err != nil {
		return
	}
	for s.serveStatement(reader) {
	}
}

// open checks a CONNECT message and opens a session. If it returns none, it returns the
// error to answer.
func (d *database) open(conn net.Conn, fields []string) (*session, string) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	switch {
	case fields[1] != d.group.name, len(fields) > 3 && fields[3] != d.id:
		return nil, "MOVED " + d.id
	case len(d.sessions) >= d.group.options.maxConnections:
		return nil, "MAXCONN " + d.id
	}
	s := &session{
		database: d, conn: conn, values: make(map[string]string), prepared: make(map[string]string), writes: make(map[string]string),
	}
	d.sessions[s] = struct{}{}
	return s, ""
}

func (d *database) forget(s *session) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	delete(d.sessions, s)
}

func (s *session) serveStatement(reader *bufio.Reader) bool {
	line, err := reader.ReadString('\n')
	if err != nil {
		return false
	}
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	a, ok := s.execute(id, text)
	if s.database.isDark() {
		_, _ = io.Copy(io.Discard, s.conn)
		return false
	}
	if !ok {
		return false
	}
	var out strings.Builder
	for _, row := range a.rows {
		fmt.Fprintf(&out, "ROW %s\r\n", row)
	}
	if a.code != "" {
		fmt.Fprintf(&out, "ERROR %s %s\r\n", a.code, a.detail)
	} else {
		if a.proof == "" {
			a.proof = "-"
		}
		fmt.Fprintf(&out, "COMPLETE %s\r\n", a.proof)
	}
	s.database.group.mu.Lock()
	out.WriteString(s.ready())
	s.database.group.mu.Unlock()
	_, err = s.conn.Write([]byte(out.String()))
	return err == nil
}

// ready returns the message that ends an answer. The lock must be held.
func (s *session) ready() string {
	status := "I"
	switch {
	case s.failed:
		status = "E"
	case s.inTx:
		status = "T"
	}
	return fmt.Sprintf("READY %s %v\r\n", status, s.database.visible())
}

// execute runs one statement. It returns false if the database ended meanwhile.
func (s *session) execute(id, text string) (answer, bool) {
	var after position
	if rest, found := strings.CutPrefix(text, "WAITPOS "); found {
		at, statement, _ := strings.Cut(rest, " ")
		after, text = parsePosition(at), statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if s.database.refuses(verb) {
		return answer{code: "BUSY", detail: s.database.id}, true
	}
	if s.local(verb, rest) {
		return answer{}, true
	}
	shape := text
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		access, known := s.prepared[name]
		if !known {
			return answer{code: "NOSTMT", detail: name}, true
		}
		verb, shape, _ = strings.Cut(access, " ")
		rest, shape = arguments, shape+" "+arguments
	}
	if s.failed {
		if verb != "COMMIT" {
			return answer{code: "MALFORMED", detail: "the transaction has failed"}, true
		}
		s.endTransaction()
		return answer{code: "ABORTED", detail: "rolled back"}, true
	}
	if !s.database.useSlot(verb) {
		return answer{code: "BUSY", detail: s.database.id}, true
	}
	a, committed, ok := s.run(id, verb, rest, shape, after)
	if ok && committed != nil {
		if ok = s.database.awaitReplicas(*committed); ok {
			s.database.group.acknowledge(s.database, *committed)
		}
	}
	return a, ok
}

// local runs a statement that needs no slot, and reports whether it was one.
func (s *session) local(verb, rest string) bool {
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "SET":
		s.values[name] = value
	case "PREPARE":
		s.prepared[name] = value
	case "CLOSE":
		delete(s.prepared, rest)
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "ROLLBACK":
		s.endTransaction()
	default:
		return false
	}
	return true
}

func (s *session) endTransaction() {
	s.inTx, s.readOnly, s.failed = false, false, false
	clear(s.writes)
}

// useSlot waits for a slot and occupies it for as long as the statement takes. It returns
// false if too many wait.
func (d *database) useSlot(verb string) bool {
	o := d.group.options
	takes := o.readTime
	switch verb {
	case "WRITE", "COMMIT":
		takes = o.writeTime
	case "BEGIN":
		return true
	case "STATUS", "STEPDOWN":
		takes = o.statusTime
	}
	d.group.mu.Lock()
	full := d.waiting >= o.slots+o.queue
	if !full {
		d.waiting++
	}
	takes *= time.Duration(max(1, d.slow))
	d.group.mu.Unlock()
	if full {
		return false
	}
	d.slots <- struct{}{}
	time.Sleep(takes)
	d.group.mu.Lock()
	d.waiting--
	d.group.mu.Unlock()
	<-d.slots
	return true
}

// run runs a statement. committed is the commit that must reach the replicas before the
// answer.
func (s *session) run(id, verb, rest, text string, after position) (a answer, committed *commit, ok bool) {
	d := s.database
	d.group.mu.Lock()
	down, role, visible := d.down, d.role, d.visible()
	lost := s.inTx && !s.readOnly && role != "primary"
	d.group.mu.Unlock()
	switch {
	case down:
		return answer{}, nil, false
	case visible.before(after):
		return answer{code: "LAGGING", detail: d.id}, nil, true
	case lost && (verb != "COMMIT" || len(s.writes) > 0):
		s.failed = true
		return answer{code: "READONLY", detail: d.id}, nil, true
	}
	switch verb {
	case "BEGIN":
		if rest == "" && role != "primary" {
			return answer{code: "READONLY", detail: d.id}, nil, true
		}
		s.inTx, s.readOnly = true, rest != ""
		return answer{}, nil, true
	case "READ":
		return answer{rows: []string{s.lookUp(rest)}, proof: d.group.ran(d, id, text)}, nil, true
	case "WRITE":
		a, committed = s.write(id, rest, text, role)
		return a, committed, true
	case "COMMIT":
		a, committed = s.commit(id, text)
		return a, committed, true
	case "STATUS":
		return d.status(), nil, true
	case "STEPDOWN":
		d.stepDown(rest)
		return d.status(), nil, true
	default:
		return answer{code: "MALFORMED"}, nil, true
	}
}

func (s *session) lookUp(item string) string {
	if value, ok := s.writes[item]; ok {
		return value
	}
	d := s.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	end := d.applied
	if d.role == "primary" {
		end = len(d.log)
	}
	for n := end - 1; n >= 0; n-- {
		if value, ok := d.log[n].writes[item]; ok {
			return value
		}
	}
	return "none"
}

func (s *session) write(id, rest, text, role string) (answer, *commit) {
	d := s.database
	if role != "primary" || s.readOnly {
		s.failed = s.inTx
		return answer{code: "READONLY", detail: d.id}, nil
	}
	item, data, _ := strings.Cut(rest, " ")
	proof := d.group.ran(d, id, text)
	if s.inTx {
		s.writes[item] = data
		return answer{proof: proof}, nil
	}
	d.group.mu.Lock()
	c := d.append(id, map[string]string{item: data})
	d.group.mu.Unlock()
	return answer{proof: proof}, &c
}

func (s *session) commit(id, text string) (answer, *commit) {
	d := s.database
	if !s.inTx {
		return answer{code: "MALFORMED", detail: "no transaction"}, nil
	}
	proof := d.group.ran(d, id, text)
	var committed *commit
	if len(s.writes) > 0 {
		d.group.mu.Lock()
		c := d.append(id, maps.Clone(s.writes))
		d.group.mu.Unlock()
		committed = &c
	}
	s.endTransaction()
	return answer{proof: proof}, committed
}

func (d *database) status() answer {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return answer{rows: []string{fmt.Sprintf("%s %d %v %d 0 %d %d", d.role, d.term, d.received(), d.term, d.waiting, len(d.sessions))}}
}

// stepDown makes a primary of a lower term a replica.
func (d *database) stepDown(term string) {
	below, err := strconv.ParseUint(term, 10, 64)
	d.group.mu.Lock()
	steps := err == nil && d.role == "primary" && d.term < below
	if steps {
		d.role = "replica"
	}
	d.group.mu.Unlock()
	if steps {
		d.group.record.note(d.id, "steps down for term %s", term)
		d.register()
	}
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	return position{t, n}
}
