package database

import (
	"regexp"
	"strings"
	"time"
)

var (
	readOnlyPattern = regexp.MustCompile(`(?i)\bread\s+only\b`)
	nowPattern      = regexp.MustCompile(`(?i)\bnow\s*\(\s*\)|\bcurrent_timestamp\b`)
	randomPattern   = regexp.MustCompile(`(?i)\b(random|randomblob)\s*\(|\bcurrent_(date|time)\b|\b(datetime|strftime|julianday|unixepoch)\s*\(`)
)

// makeDeterministic rewrites a statement so that it has the same effect on every
// copy of the data: now() and current_timestamp become a literal, and writes
// that call other nondeterministic functions are rejected. So are table
// definitions that contain now() or current_timestamp, as in a column default.
func makeDeterministic(text string, kind statementKind) (string, error) {
	literal := "'" + textOf(time.Now().UTC()) + "'"
	var out strings.Builder
	refused := false
	scanSQL(text, func(part string, code bool) {
		if !code {
			out.WriteString(part)
			return
		}
		refused = refused || randomPattern.MatchString(part) || isDefinition(text) && nowPattern.MatchString(part)
		out.WriteString(nowPattern.ReplaceAllLiteralString(part, literal))
	})
	if refused && kind == kindWrite {
		return "", &sqlError{codeFeatureNotSupported, "the stand-in refuses writes that differ from run to run"}
	}
	return out.String(), nil
}

// isDefinition reports whether a statement is a CREATE or an ALTER.
func isDefinition(text string) bool {
	word := strings.ToLower(firstWord(text))
	return word == "create" || word == "alter"
}
