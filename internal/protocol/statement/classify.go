package statement

import "strings"

// classifier holds the state of one Classify call.
type classifier struct {
	scanner
	class Class
	// current, previous and beforePrevious are the last three tokens read.
	current, previous, beforePrevious token
}

// Classify determines what a string of SQL does. It never fails: text that it
// does not understand counts as a write, and the database reports any error.
func Classify(sql string) Class {
	c := classifier{scanner: scanner{text: sql}}
	first, last := len(sql), 0
	overall := KindEmpty
	c.advance()
	for c.current.kind != tokenEnd {
		if c.isSymbol(';') {
			c.advance()
			continue
		}
		first = min(first, c.current.start)
		kind := c.parseStatement()
		c.class.Statements++
		overall = c.combine(overall, kind)
		last = c.previous.end
	}
	c.class.Kind = overall
	if c.ambiguous && overall != KindUnsupported {
		c.class.Pins = c.class.Pins || overall != KindRead && overall != KindWrite
		c.class.Kind = KindWrite
	}
	parseHints(sql[:first], &c.class)
	parseHints(sql[max(first, last):], &c.class)
	if c.class.Unsupported != "" {
		c.class.Kind = KindUnsupported
	}
	return c.class
}

func (c *classifier) advance() {
	c.beforePrevious = c.previous
	c.previous = c.current
	c.current = c.next()
}

func (c *classifier) textOf(t token) string {
	return c.text[t.start:t.end]
}

func (c *classifier) isSymbol(symbol byte) bool {
	return c.current.kind == tokenSymbol && c.text[c.current.start] == symbol
}

func (c *classifier) isWord(lower string) bool {
	return c.current.kind == tokenWord && equalFold(c.textOf(c.current), lower)
}

// accept skips the current token if it is the given word, and reports whether
// it was.
func (c *classifier) accept(lower string) bool {
	if !c.isWord(lower) {
		return false
	}
	c.advance()
	return true
}

func (c *classifier) atEnd() bool {
	return c.current.kind == tokenEnd || c.isSymbol(';')
}

func (c *classifier) skipStatement() {
	for !c.atEnd() {
		c.advance()
	}
}

// combine returns the kind of the whole string after one more statement.
// overall is the kind of the statements before it.
func (c *classifier) combine(overall, kind Kind) Kind {
	if c.class.Statements == 1 {
		return kind
	}
	c.applyBatchRules(overall)
	c.applyBatchRules(kind)
	switch {
	case overall == KindUnsupported || kind == KindUnsupported:
		return KindUnsupported
	case overall == KindRead && kind == KindRead:
		return KindRead
	default:
		return KindWrite
	}
}

// applyBatchRules records a statement that is one of several in the string: it
// sets the fields that apply to several statements and clears those that
// describe a single one.
func (c *classifier) applyBatchRules(kind Kind) {
	switch kind {
	case KindBegin, KindCommit, KindRollback, KindSavepoint:
		c.class.ControlsTransaction = true
	case KindSet, KindReset, KindDiscard:
		c.class.Pins = true
	}
	c.class.ReadOnly = false
	c.class.SettingName, c.class.SettingValue, c.class.SettingLocal = "", "", false
}

// parseStatement reads one statement up to its end and returns its kind.
func (c *classifier) parseStatement() Kind {
	if c.isSymbol('(') {
		return c.parseQuery()
	}
	if c.current.kind != tokenWord {
		return c.parseOther("")
	}
	verb := c.textOf(c.current)
	switch {
	case equalFold(verb, "select"), equalFold(verb, "with"), equalFold(verb, "values"), equalFold(verb, "table"):
		return c.parseQuery()
	case equalFold(verb, "explain"):
		return c.parseExplain()
	case equalFold(verb, "set"), equalFold(verb, "reset"), equalFold(verb, "show"), equalFold(verb, "discard"):
		return c.parseSetting(verb)
	case equalFold(verb, "copy"), equalFold(verb, "listen"), equalFold(verb, "unlisten"), equalFold(verb, "notify"):
		c.class.Unsupported = strings.ToUpper(verb)
		c.skipStatement()
		return KindUnsupported
	case transactionVerbs.contains(verb):
		return c.parseTransaction(verb)
	default:
		return c.parseOther(verb)
	}
}

// parseQuery reads a statement that begins like a query. It returns KindWrite
// if any token may make the statement more than a read.
func (c *classifier) parseQuery() Kind {
	kind := KindRead
	for !c.atEnd() {
		if !c.tokenIsReadOnly() {
			kind = KindWrite
		}
		c.detectPin()
		c.advance()
	}
	return kind
}

// tokenIsReadOnly reports whether the current token of a query is consistent
// with a statement that only reads.
func (c *classifier) tokenIsReadOnly() bool {
	word := c.textOf(c.current)
	switch {
	case c.current.kind == tokenWord && writeWords.contains(word):
		return false
	case c.current.kind == tokenWord && c.previousIs("for") && lockWords.contains(word):
		return false
	case c.isSymbol('('):
		return c.parenthesisIsReadOnly()
	default:
		return true
	}
}

// previousIs reports whether the previous token is the given unquoted word.
func (c *classifier) previousIs(lower string) bool {
	return c.previous.kind == tokenWord && equalFold(c.textOf(c.previous), lower)
}

// parenthesisIsReadOnly reports whether the text before an opening parenthesis
// is known to have no side effects: a keyword, a listed function, or an alias
// or WITH name that is followed by a list of columns.
func (c *classifier) parenthesisIsReadOnly() bool {
	quoted := c.previous.kind == tokenQuotedIdentifier
	if !quoted && c.previous.kind != tokenWord {
		return true
	}
	before := ""
	if c.beforePrevious.kind != tokenEnd {
		before = c.textOf(c.beforePrevious)
	}
	if equalFold(before, "as") || equalFold(before, "with") || equalFold(before, "recursive") {
		return true
	}
	name := c.textOf(c.previous)
	if quoted || before == "." {
		return false
	}
	return keywords.contains(name) || readFunctions.contains(name) || isContextKeyword(before, name)
}

// isContextKeyword reports whether name is one of contextKeywords and before is
// a token that may precede it.
func isContextKeyword(before, name string) bool {
	for keyword, places := range contextKeywords {
		if !equalFold(name, keyword) {
			continue
		}
		for _, place := range places {
			if equalFold(before, place) {
				return true
			}
		}
	}
	return false
}

// detectPin sets Pins if the current token indicates state that stays on the
// session.
func (c *classifier) detectPin() {
	if c.current.kind != tokenWord && c.current.kind != tokenQuotedIdentifier {
		return
	}
	word := strings.Trim(c.textOf(c.current), `"`)
	temporary := equalFold(word, "temp") || equalFold(word, "temporary")
	if equalFold(word, "pg_temp") || pinningFunctions.contains(word) || temporary && c.followsCreateOrInto() {
		c.class.Pins = true
	}
}

// followsCreateOrInto reports whether TEMP as the current token creates a table
// or view, as part of CREATE or INTO.
func (c *classifier) followsCreateOrInto() bool {
	return c.previousIs("create") || c.previousIs("global") || c.previousIs("local") ||
		c.previousIs("into") || c.previousIs("replace")
}

// isAnalyse reports whether the current token is analyseWord or its British
// spelling.
func (c *classifier) isAnalyse() bool {
	return c.isWord(analyseWord) || c.isWord("analyse")
}

// parseExplain reads EXPLAIN, which executes its statement only with the option
// analyseWord.
func (c *classifier) parseExplain() Kind {
	c.advance()
	kind := KindRead
	if c.isSymbol('(') {
		for !c.atEnd() && !c.isSymbol(')') {
			if c.isAnalyse() {
				kind = KindWrite
			}
			c.advance()
		}
		c.advance()
	}
	for c.isAnalyse() || c.isWord("verbose") {
		if !c.isWord("verbose") {
			kind = KindWrite
		}
		c.advance()
	}
	if !c.isSymbol('(') && !c.isWord("select") && !c.isWord("with") && !c.isWord("values") {
		kind = KindWrite
	}
	if c.parseQuery() == KindWrite {
		return KindWrite
	}
	return kind
}

// parseOther reads a statement that has no rule of its own and counts as a
// write.
func (c *classifier) parseOther(verb string) Kind {
	switch {
	case equalFold(verb, "prepare"):
		c.advance()
		if c.isWord("transaction") {
			return c.rejectTwoPhase()
		}
		c.class.Pins = true
	case equalFold(verb, "load"):
		c.class.Pins = true
	case equalFold(verb, "do"):
		c.class.Pins = c.class.Pins || c.doBlockPins()
	}
	declare := equalFold(verb, "declare")
	for !c.atEnd() {
		c.detectPin()
		if declare && c.isWord("hold") && c.previousIs("with") {
			c.class.Pins = true
		}
		c.advance()
	}
	return KindWrite
}

// doBlockPins reports whether a string of a DO statement, such as its body,
// contains a word that may leave state on the session.
func (c *classifier) doBlockPins() bool {
	for !c.atEnd() {
		c.advance()
		if c.current.kind == tokenString && bodyPins(c.textOf(c.current)) {
			return true
		}
	}
	return false
}

// bodyPins reports whether code contains a word that may leave state on the
// session.
func bodyPins(code string) bool {
	code = strings.ToLower(code)
	for _, word := range []string{"temp", "advisory", "set", "prepare", "load", "execute", "hold"} {
		if strings.Contains(code, word) {
			return true
		}
	}
	return false
}
