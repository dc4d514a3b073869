package statement

import "strings"

// parseSetting reads a SET, RESET, SHOW or DISCARD statement.
func (c *classifier) parseSetting(verb string) Kind {
	c.advance()
	if equalFold(verb, "set") {
		return c.parseSet()
	}
	c.class.SettingName = c.parseSettingName()
	c.skipStatement()
	switch {
	case equalFold(verb, "reset"):
		return KindReset
	case equalFold(verb, "show"):
		return KindShow
	default:
		return KindDiscard
	}
}

// parseSettingName reads the name of a parameter, which may be two or more
// words such as TIME ZONE.
func (c *classifier) parseSettingName() string {
	switch {
	case c.accept("time"):
		c.accept("zone")
		return "timezone"
	case c.isWord("session"):
		c.advance()
		if c.accept("authorization") {
			return "session_authorization"
		}
		return "session"
	case c.accept("transaction"):
		c.accept("isolation")
		c.accept("level")
		return "transaction_isolation"
	}
	var name strings.Builder
	for c.current.kind == tokenWord || c.current.kind == tokenQuotedIdentifier {
		name.WriteString(lowerASCII(strings.Trim(c.textOf(c.current), `"`)))
		c.advance()
		if !c.isSymbol('.') {
			break
		}
		name.WriteByte('.')
		c.advance()
	}
	return name.String()
}

func (c *classifier) parseSet() Kind {
	local := c.accept("local")
	session := !local && c.accept("session")
	switch {
	case session && c.accept("characteristics"):
		c.class.Pins = true
		return c.finishSet("session_characteristics", "", false)
	case c.accept("transaction"):
		return c.finishSet("transaction", "", true)
	case c.accept("constraints"):
		return c.finishSet("constraints", "", true)
	case session && c.accept("authorization"):
		return c.parseSetValue("session_authorization", local)
	case c.accept("time"):
		c.accept("zone")
		return c.parseSetValue("timezone", local)
	case c.accept("names"):
		return c.parseSetValue("client_encoding", local)
	case c.accept("role"):
		return c.parseSetValue("role", local)
	}
	name := c.parseSettingName()
	if !c.accept("to") {
		if !c.isSymbol('=') {
			c.class.Pins = true
			return c.finishSet(name, "", local)
		}
		c.advance()
	}
	return c.parseSetValue(name, local)
}

// finishSet skips the rest of a SET statement and records its parameter.
func (c *classifier) finishSet(name, value string, local bool) Kind {
	c.skipStatement()
	c.class.SettingName, c.class.SettingValue, c.class.SettingLocal = name, value, local
	return KindSet
}

// parseSetValue reads the value of SET and records it in the form that
// set_config takes.
func (c *classifier) parseSetValue(name string, local bool) Kind {
	isDefault := c.isWord("default") || name == "timezone" && c.isWord("local")
	if isDefault && !local {
		c.skipStatement()
		c.class.SettingName = name
		return KindReset
	}
	quoteIdentifiers := name == "search_path" || name == "temp_tablespaces"
	var value strings.Builder
	for !c.atEnd() {
		switch {
		case c.isSymbol(','):
			value.WriteString(", ")
		case name == "timezone" && c.isWord("interval"):
			c.class.Pins = true
		case c.isSymbol('&'): // of U&'...'
			c.class.Pins = true
		case c.current.kind == tokenString && c.current.escaped:
			c.class.Pins = true
		case quoteIdentifiers:
			value.WriteString(quoteIdentifier(c.unquotedText()))
		default:
			value.WriteString(c.unquotedText())
		}
		c.advance()
	}
	return c.finishSet(name, value.String(), local)
}

// unquotedText returns the current token without its quotes. An unquoted word
// is folded to lower case.
func (c *classifier) unquotedText() string {
	text := c.textOf(c.current)
	switch {
	case c.current.kind == tokenWord:
		return lowerASCII(text)
	case c.current.kind == tokenQuotedIdentifier && len(text) >= 2:
		return strings.ReplaceAll(text[1:len(text)-1], `""`, `"`)
	case c.current.kind == tokenString && text[0] == '\'':
		return unquoteString(text)
	case c.current.kind == tokenString && text[0] == '$':
		delimiter := strings.IndexByte(text[1:], '$') + 2
		return text[delimiter:max(delimiter, len(text)-delimiter)]
	default:
		return text
	}
}

// unquoteString returns the value of a string and its continuations on later lines.
func unquoteString(text string) string {
	var value strings.Builder
	for len(text) > 0 {
		text = text[1:] // the opening quote
		for len(text) > 0 && text[0] != '\'' || strings.HasPrefix(text, "''") {
			value.WriteByte(text[0])
			if text[0] == '\'' {
				text = text[1:]
			}
			text = text[1:]
		}
		next := strings.IndexByte(text[min(1, len(text)):], '\'')
		if next < 0 {
			break
		}
		text = text[1+next:]
	}
	return value.String()
}

// lowerASCII folds the letters that PostgreSQL folds, and leaves all other bytes
// as they are.
func lowerASCII(text string) string {
	lower := []byte(text)
	for i, c := range lower {
		if c >= 'A' && c <= 'Z' {
			lower[i] = c + 'a' - 'A'
		}
	}
	return string(lower)
}

// quoteIdentifier quotes name unless it is valid as a bare identifier.
func quoteIdentifier(name string) string {
	for i := range len(name) {
		c := name[i]
		plain := c >= 'a' && c <= 'z' || c == '_' || i > 0 && isDigit(c)
		if !plain {
			return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
		}
	}
	return name
}
