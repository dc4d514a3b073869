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

// makeDeterministic makes a statement do the same on every copy that runs it:
// the present time becomes a literal, and writes with other functions that
// differ from run to run are refused.
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

// isDefinition reports whether a statement defines tables or the like.
func isDefinition(text string) bool {
	word := strings.ToLower(firstWord(text))
	return word == "create" || word == "alter"
}
