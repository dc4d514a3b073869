package database

import (
	"maps"
	"regexp"
	"sort"
	"strings"
)

var (
	setPattern          = regexp.MustCompile(`(?is)^set\s+(?:(local|session)\s+)?([\w.]+)\s*(?:=|\s+to\s)\s*(.*)$`)
	setTimeZonePattern  = regexp.MustCompile(`(?is)^set\s+(?:(local|session)\s+)?time\s+zone\s+(.*)$`)
	setIgnoredPattern   = regexp.MustCompile(`(?is)^set\s+(transaction|session\s+characteristics|constraints)\b`)
	settingNamePattern  = regexp.MustCompile(`(?is)^\w+\s+(.+)$`)
	reportedSettings    = []string{"application_name", "client_encoding", "DateStyle", "integer_datetimes", "server_encoding", "server_version", "standard_conforming_strings", "TimeZone"}
	fixedSettingDefault = map[string]string{
		"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
		"datestyle": "ISO, MDY", "timezone": "UTC", "integer_datetimes": "on",
		"standard_conforming_strings": "on", "application_name": "", "search_path": `"$user", public`,
		"transaction_isolation": "read committed", "statement_timeout": "0",
	}
)

// settings holds the parameters of one session by lower-case name: local values
// take precedence over session values, and those over the defaults.
type settings struct {
	defaults map[string]string
	session  map[string]string
	local    map[string]string
	// before is a copy of the session map at the start of the transaction, or nil
	// outside a transaction.
	before map[string]string
}

func newSettings(startup map[string]string) *settings {
	defaults := maps.Clone(fixedSettingDefault)
	for name, value := range startup {
		if name != "user" && name != "database" && name != "options" {
			defaults[strings.ToLower(name)] = value
		}
	}
	return &settings{
		defaults: defaults,
		session:  make(map[string]string),
		local:    make(map[string]string),
	}
}

func (s *settings) get(name string) (string, bool) {
	name = strings.ToLower(name)
	for _, level := range []map[string]string{s.local, s.session, s.defaults} {
		if value, ok := level[name]; ok {
			return value, true
		}
	}
	return "", false
}

// begin saves the session parameters, which a rollback restores.
func (s *settings) begin() {
	s.before = maps.Clone(s.session)
}

// end drops the local parameters at the end of a transaction and, after a
// rollback, restores the session parameters.
func (s *settings) end(committed bool) {
	if !committed && s.before != nil {
		s.session = s.before
	}
	s.before = nil
	clear(s.local)
}

// set runs a SET statement.
func (s *settings) set(statement string) error {
	if setIgnoredPattern.MatchString(statement) {
		return nil
	}
	match := setPattern.FindStringSubmatch(statement)
	if zone := setTimeZonePattern.FindStringSubmatch(statement); zone != nil {
		match = []string{"", zone[1], "timezone", zone[2]}
	}
	if match == nil {
		return &sqlError{codeSyntaxError, "syntax error in SET"}
	}
	target := s.session
	if strings.EqualFold(match[1], "local") {
		target = s.local
		if s.before == nil {
			return nil
		}
	}
	name, value := strings.ToLower(match[2]), unquote(match[3])
	if strings.EqualFold(value, "default") {
		delete(target, name)
		return nil
	}
	target[name] = value
	return nil
}

// reset runs a RESET statement.
func (s *settings) reset(statement string) {
	name := settingName(statement)
	if strings.EqualFold(name, "all") {
		clear(s.session)
		clear(s.local)
		return
	}
	delete(s.session, strings.ToLower(name))
	delete(s.local, strings.ToLower(name))
}

// show runs a SHOW statement.
func (s *settings) show(statement string) (*result, error) {
	name := settingName(statement)
	if strings.EqualFold(name, "all") {
		return s.showAll(), nil
	}
	value, ok := s.get(name)
	if !ok {
		return nil, &sqlError{codeUndefinedObject, "unknown configuration parameter \"" + name + "\""}
	}
	return textResult([]string{name}, []any{value}, "SHOW"), nil
}

func (s *settings) showAll() *result {
	names := make(map[string]bool)
	for _, level := range []map[string]string{s.local, s.session, s.defaults} {
		for name := range level {
			names[name] = true
		}
	}
	res := textResult([]string{"name", "setting"}, nil, "SHOW")
	for name := range names {
		value, _ := s.get(name)
		res.rows = append(res.rows, []any{name, value})
	}
	sort.Slice(res.rows, func(i, j int) bool {
		return res.rows[i][0].(string) < res.rows[j][0].(string)
	})
	return res
}

// settingName returns the parameter name that follows the first word of a
// statement, without quotes.
func settingName(statement string) string {
	match := settingNamePattern.FindStringSubmatch(statement)
	if match == nil {
		return ""
	}
	name := strings.TrimSpace(match[1])
	if strings.EqualFold(name, "time zone") {
		return "timezone"
	}
	return unquote(name)
}

func unquote(text string) string {
	text = strings.TrimSpace(text)
	if strings.HasPrefix(text, "E'") || strings.HasPrefix(text, "e'") {
		return unquote(unescape(text[1:]))
	}
	for _, quote := range []string{"'", `"`} {
		if len(text) >= 2 && strings.HasPrefix(text, quote) && strings.HasSuffix(text, quote) {
			return strings.ReplaceAll(text[1:len(text)-1], quote+quote, quote)
		}
	}
	return text
}

// unescape replaces escaped backslashes, the only escapes that the stand-in
// supports in strings of the form E'...'.
func unescape(text string) string {
	return strings.ReplaceAll(text, `\\`, `\`)
}
