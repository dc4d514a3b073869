package database

import (
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

var (
	setConfigPattern = regexp.MustCompile(`(?is)^select\s+set_config\s*\(\s*(E?'(?:[^']|'')*')\s*,\s*(E?'(?:[^']|'')*')\s*,\s*(true|false)\s*\)$`)
	activityPattern  = regexp.MustCompile(`(?is)^select\s+state\s+from\s+pg_stat_activity\s+where\s+pid\s*=\s*(\d+)$`)
	terminatePattern = regexp.MustCompile(`(?is)^select\s+pg_terminate_backend\s*\(\s*(\d+)\s*\)$`)
)

// Connection states in pg_stat_activity.
const (
	activityActive = "active"
	activityIdle   = "idle"
)

// setConfig runs SELECT set_config(name, value, is_local).
func (s *session) setConfig(statement string) (*result, error) {
	match := setConfigPattern.FindStringSubmatch(statement)
	scope := "SET SESSION "
	if match[3] == "true" {
		scope = "SET LOCAL "
	}
	if err := s.settings.set(scope + unquote(match[1]) + " TO " + match[2]); err != nil {
		return nil, err
	}
	s.reportSettings()
	return textResult([]string{"set_config"}, []any{unquote(match[2])}, "SELECT 1"), nil
}

// activity returns the state of a connection: the only query on pg_stat_activity
// that the stand-in supports and the proxy sends. It takes no slot.
func (s *session) activity(statement string) (*result, error) {
	other, err := s.sessionByPID(activityPattern.FindStringSubmatch(statement)[1])
	if err != nil {
		return nil, err
	}
	res := &result{columns: []column{{name: "state", oid: pgtype.TextOID}}, tag: "SELECT 0"}
	if other != nil {
		res.rows, res.tag = [][]any{{other.activityState()}}, "SELECT 1"
	}
	return res, nil
}

// sessionByPID returns the session with a process id, or nil if there is none.
func (s *session) sessionByPID(pid string) (*session, error) {
	number, err := strconv.ParseUint(pid, 10, 32)
	if err != nil {
		return nil, &sqlError{codeInvalidTextValue, "invalid pid"}
	}
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	return s.run.sessions[uint32(number)], nil
}

// terminate closes a connection and rolls back its open transaction. It takes no
// slot.
func (s *session) terminate(statement string) (*result, error) {
	other, err := s.sessionByPID(terminatePattern.FindStringSubmatch(statement)[1])
	if err != nil {
		return nil, err
	}
	found := "f"
	if other != nil {
		found = "t"
		other.cancelStatement()
		other.connection.closeQuietly()
	}
	return textResult([]string{"pg_terminate_backend"}, []any{found}, "SELECT 1"), nil
}

func (s *session) activityState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return activityActive
	}
	return activityIdle
}
