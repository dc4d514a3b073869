package database

import (
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

var (
	setConfigPattern = regexp.MustCompile(`(?is)^select\s+set_config\s*\(\s*('(?:[^']|'')*')\s*,\s*('(?:[^']|'')*')\s*,\s*(true|false)\s*\)$`)
	activityPattern  = regexp.MustCompile(`(?is)^select\s+state\s+from\s+pg_stat_activity\s+where\s+pid\s*=\s*(\d+)$`)
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
	pid, err := strconv.ParseUint(activityPattern.FindStringSubmatch(statement)[1], 10, 32)
	if err != nil {
		return nil, &sqlError{codeInvalidTextValue, "invalid pid"}
	}
	s.run.mu.Lock()
	other := s.run.sessions[uint32(pid)]
	s.run.mu.Unlock()
	answer := &result{columns: []column{{name: "state", oid: pgtype.TextOID}}, tag: "SELECT 0"}
	if other != nil {
		answer.rows, answer.tag = [][]any{{other.activityState()}}, "SELECT 1"
	}
	return answer, nil
}

func (s *session) activityState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return activityActive
	}
	return activityIdle
}
