package database

import (
	"regexp"
	"strings"
)

// statementKind determines how a statement is executed.
type statementKind uint8

const (
	kindRead statementKind = iota
	kindWrite
	kindLockingRead
	kindSleep
	kindSetConfig
	kindActivity
	kindTerminate
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint
	kindRollbackTo
	kindSet
	kindReset
	kindShow
	kindDiscard
	kindDeallocate
	kindControl
	kindEmpty
)

var firstWordKinds = map[string]statementKind{
	"insert": kindWrite, "update": kindWrite, "delete": kindWrite, "replace": kindWrite,
	"create": kindWrite, "drop": kindWrite, "alter": kindWrite, "truncate": kindWrite,
	"begin": kindBegin, "start": kindBegin, "commit": kindCommit, "end": kindCommit,
	"rollback": kindRollback, "abort": kindRollback, "savepoint": kindSavepoint,
	"release": kindSavepoint, "set": kindSet, "reset": kindReset, "show": kindShow,
	"discard": kindDiscard, "deallocate": kindDeallocate,
}

var (
	// escapePrefixPattern matches text before a string of the form E'...'.
	escapePrefixPattern = regexp.MustCompile(`(?i)\WE$`)
	writeWordPattern    = regexp.MustCompile(`(?i)\b(insert|update|delete)\b`)
	lockClausePattern   = regexp.MustCompile(`(?is)\s+for\s+(no\s+key\s+update|update|key\s+share|share)\b.*$`)
	sleepPattern        = regexp.MustCompile(`(?i)^select\s+pg_sleep\s*\(\s*([0-9]*\.?[0-9]+)\s*\)$`)
	rollbackToPattern   = regexp.MustCompile(`(?i)^rollback\s+(transaction\s+|work\s+)?to\b`)
	deallocatePattern   = regexp.MustCompile(`(?is)^deallocate\s*(?:prepare\s+)?(.*)$`)
	truncatePattern     = regexp.MustCompile(`(?i)^truncate\s+(table\s+)?(\S+).*$`)
	returningPattern    = regexp.MustCompile(`(?is)\breturning\b(.*)$`)
	writeTargetPattern  = regexp.MustCompile(`(?i)\b(?:into|update|from)\s+([\w."]+)`)
)

// classify returns the kind of a statement. The statement must not start with a
// comment.
func classify(sql string) statementKind {
	if sql == "" {
		return kindEmpty
	}
	word := strings.ToLower(firstWord(sql))
	switch word {
	case "select":
		return classifySelect(sql)
	case "with":
		if writeWordPattern.MatchString(sql) {
			return kindWrite
		}
		return kindRead
	case "rollback":
		if rollbackToPattern.MatchString(sql) {
			return kindRollbackTo
		}
	}
	return firstWordKinds[word]
}

func classifySelect(sql string) statementKind {
	switch {
	case controlPattern.MatchString(sql):
		return kindControl
	case setConfigPattern.MatchString(sql):
		return kindSetConfig
	case activityPattern.MatchString(sql):
		return kindActivity
	case terminatePattern.MatchString(sql):
		return kindTerminate
	case sleepPattern.MatchString(sql):
		return kindSleep
	case lockClausePattern.MatchString(sql):
		return kindLockingRead
	default:
		return kindRead
	}
}

func firstWord(sql string) string {
	end := strings.IndexFunc(sql, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		return sql
	}
	return sql[:end]
}

// toSQLite translates syntax in which SQLite differs from PostgreSQL: parameters
// ($n becomes ?n), TRUNCATE, locking clauses and strings of the form E'...'.
func toSQLite(sql string, kind statementKind) string {
	switch {
	case kind == kindLockingRead:
		sql = lockClausePattern.ReplaceAllString(sql, "")
	case truncatePattern.MatchString(sql):
		sql = truncatePattern.ReplaceAllString(sql, "DELETE FROM $2")
	}
	var out strings.Builder
	escaped := false
	scanSQL(sql, func(part string, code bool) {
		if code {
			escaped = escapePrefixPattern.MatchString(part)
			part = strings.ReplaceAll(part, "$", "?")
		}
		if code && escaped {
			part = part[:len(part)-1]
		}
		if !code && escaped {
			part = unescape(part)
		}
		out.WriteString(part)
	})
	return out.String()
}

// splitStatements splits a query string at its semicolons and removes comments
// and empty statements.
func splitStatements(sql string) []string {
	var statements []string
	var current strings.Builder
	finish := func() {
		if text := strings.TrimSpace(current.String()); text != "" {
			statements = append(statements, text)
		}
		current.Reset()
	}
	scanSQL(sql, func(part string, code bool) {
		if !code {
			current.WriteString(part)
			return
		}
		pieces := strings.Split(part, ";")
		for i, piece := range pieces {
			if i > 0 {
				finish()
			}
			current.WriteString(piece)
		}
	})
	finish()
	return statements
}

// scanSQL calls visit for each unquoted part (code is true) and each quoted part of
// a statement, in order. A comment becomes a single space of unquoted text.
func scanSQL(sql string, visit func(part string, code bool)) {
	start := 0
	for i := 0; i < len(sql); {
		end, comment := skipQuotedOrComment(sql, i)
		if end == i {
			i++
			continue
		}
		if start < i {
			visit(sql[start:i], true)
		}
		if comment {
			visit(" ", true)
		} else {
			visit(sql[i:end], false)
		}
		i, start = end, end
	}
	if start < len(sql) {
		visit(sql[start:], true)
	}
}

// skipQuotedOrComment returns the end of the quoted string or comment that starts
// at i, or i itself if none does.
func skipQuotedOrComment(sql string, i int) (end int, comment bool) {
	rest := sql[i:]
	switch {
	case rest[0] == '\'' || rest[0] == '"':
		if n := strings.IndexByte(rest[1:], rest[0]); n >= 0 {
			return i + n + 2, false
		}
		return len(sql), false
	case strings.HasPrefix(rest, "--"):
		if n := strings.IndexByte(rest, '\n'); n >= 0 {
			return i + n, true
		}
		return len(sql), true
	case strings.HasPrefix(rest, "/*"):
		if n := strings.Index(rest, "*/"); n >= 0 {
			return i + n + 2, true
		}
		return len(sql), true
	}
	return i, false
}
