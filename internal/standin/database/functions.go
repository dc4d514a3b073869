package database

import (
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

var (
	setConfigPattern = regexp.MustCompile(`(?is)^select\s+set_config\s*\(\s*('(?:[^']|'')*')\s*,\s*('(?:[^']|'')*')\s*,\s*(true|false)\s*\)$`)
	activityPattern  = regexp.MustCompile(`(?is)^select\s+state\s+from\s+pg_stat_activity\s+where\s+pid\s*=\s*(\d+)$`)
	terminatePattern = regexp.MustCompile(`(?is)^select\s+pg_terminate_backend\s*\(\s*(\d+)\s*\)$`)
)

// The states of a connection in pg_stat_activity.
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

// activity answers what a connection does, in the part of pg_stat_activity
// that the proxy asks for. It takes no slot.
func (s *session) activity(statement string) (*result, error) {
	other, err := s.sessionOf(activityPattern.FindStringSubmatch(statement)[1])
	if err != nil {
		return nil, err
	}
	answer := &result{columns: []column{{name: "state", oid: pgtype.TextOID}}, tag: "SELECT 0"}
	if other != nil {
		answer.rows, answer.tag = [][]any{{other.activityState()}}, "SELECT 1"
	}
	return answer, nil
}

// sessionOf returns the session of a process id, or nil where there is none.
func (s *session) sessionOf(pid string) (*session, error) {
	number, err := strconv.ParseUint(pid, 10, 32)
	if err != nil {
		return nil, &sqlError{codeInvalidTextValue, "invalid pid"}
	}
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	return s.run.sessions[uint32(number)], nil
}

// terminate ends another connection and the transaction that it has open. It
// takes no slot.
func (s *session) terminate(statement string) (*result, error) {
	other, err := s.sessionOf(terminatePattern.FindStringSubmatch(statement)[1])
	if err != nil {
		return nil, err
	}
	found := "f"
	if other != nil {
		found = "t"
		other.cancelStatement()
		other.connection.drop()
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
