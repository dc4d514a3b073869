package statement

import "strings"

// setting reads SET, RESET, SHOW and DISCARD.
func (c *classifier) setting(verb string) Kind {
	c.advance()
	if is(verb, "set") {
		return c.set()
	}
	c.class.SettingName = c.settingName()
	c.skipStatement()
	switch {
	case is(verb, "reset"):
		return KindReset
	case is(verb, "show"):
		return KindShow
	default:
		return KindDiscard
	}
}

// settingName reads a parameter name, among them those that are two words.
func (c *classifier) settingName() string {
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
	for c.current.kind == tokenWord || c.current.kind == tokenQuotedWord {
		name.WriteString(strings.ToLower(strings.Trim(c.textOf(c.current), `"`)))
		c.advance()
		if !c.isSymbol('.') {
			break
		}
		name.WriteByte('.')
		c.advance()
	}
	return name.String()
}

func (c *classifier) set() Kind {
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
		return c.setValue("session_authorization", local)
	case c.accept("time"):
		c.accept("zone")
		return c.setValue("timezone", local)
	case c.accept("names"):
		return c.setValue("client_encoding", local)
	case c.accept("role"):
		return c.setValue("role", local)
	}
	name := c.settingName()
	if !c.accept("to") {
		if !c.isSymbol('=') {
			c.class.Pins = true
			return c.finishSet(name, "", local)
		}
		c.advance()
	}
	return c.setValue(name, local)
}

func (c *classifier) finishSet(name, value string, local bool) Kind {
	c.skipStatement()
	c.class.SettingName, c.class.SettingValue, c.class.SettingLocal = name, value, local
	return KindSet
}

// setValue reads the value of SET and writes it as set_config takes it.
func (c *classifier) setValue(name string, local bool) Kind {
	isDefault := c.isWord("default") || name == "timezone" && c.isWord("local")
	if isDefault && !local {
		c.skipStatement()
		c.class.SettingName = name
		return KindReset
	}
	quoteNames := name == "search_path" || name == "temp_tablespaces"
	var value strings.Builder
	for !c.atEnd() {
		switch {
		case c.isSymbol(','):
			value.WriteString(", ")
		case name == "timezone" && c.isWord("interval"):
			c.class.Pins = true
		case c.current.kind == tokenString && c.current.escaped:
			c.class.Pins = true
		case quoteNames:
			value.WriteString(quoteName(c.plainText()))
		default:
			value.WriteString(c.plainText())
		}
		c.advance()
	}
	return c.finishSet(name, value.String(), local)
}

// plainText returns the current token without its quotes, folded to lower case
// where it is a bare word.
func (c *classifier) plainText() string {
	text := c.textOf(c.current)
	switch {
	case c.current.kind == tokenWord:
		return strings.ToLower(text)
	case c.current.kind == tokenQuotedWord && len(text) >= 2:
		return strings.ReplaceAll(text[1:len(text)-1], `""`, `"`)
	case c.current.kind == tokenString && text[0] == '\'' && len(text) >= 2:
		return strings.ReplaceAll(text[1:len(text)-1], `''`, `'`)
	default:
		return text
	}
}

func quoteName(name string) string {
	for i := range len(name) {
		c := name[i]
		plain := c >= 'a' && c <= 'z' || c == '_' || i > 0 && isDigit(c)
		if !plain {
			return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
		}
	}
	return name
}
