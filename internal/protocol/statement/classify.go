package statement

import "strings"

// classifier holds the state of one Classify call.
type classifier struct {
	scanner
	class Class
	// current, previous and beforePrevious are the last tokens read.
	current, previous, beforePrevious token
}

// Classify says what a string of SQL does. It does not fail: text that it
// cannot follow is a write, for the database to judge.
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
		kind := c.statement()
		c.class.Statements++
		overall = c.combine(overall, kind)
		last = c.previous.end
	}
	c.class.Kind = overall
	if c.unsure && overall != KindUnsupported {
		c.class.Pins = c.class.Pins || overall != KindRead && overall != KindWrite
		c.class.Kind = KindWrite
	}
	readHints(sql[:first], &c.class)
	readHints(sql[max(first, last):], &c.class)
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
	return c.current.kind == tokenWord && is(c.textOf(c.current), lower)
}

// accept moves past the given word and reports whether it was there.
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

// combine joins the kind of one more statement to that of those before it.
func (c *classifier) combine(overall, kind Kind) Kind {
	if c.class.Statements == 1 {
		return kind
	}
	c.forgetSingle(overall)
	c.forgetSingle(kind)
	switch {
	case overall == KindUnsupported || kind == KindUnsupported:
		return KindUnsupported
	case overall == KindRead && kind == KindRead:
		return KindRead
	default:
		return KindWrite
	}
}

// forgetSingle replaces what is reported of a statement on its own by what is
// reported of it among others.
func (c *classifier) forgetSingle(kind Kind) {
	switch kind {
	case KindBegin, KindCommit, KindRollback, KindSavepoint:
		c.class.ControlsTransaction = true
	case KindSet, KindReset, KindDiscard:
		c.class.Pins = true
	}
	c.class.ReadOnly = false
	c.class.SettingName, c.class.SettingValue, c.class.SettingLocal = "", "", false
}

// statement reads one statement up to its end.
func (c *classifier) statement() Kind {
	if c.isSymbol('(') {
		return c.query()
	}
	if c.current.kind != tokenWord {
		return c.other("")
	}
	verb := c.textOf(c.current)
	switch {
	case is(verb, "select"), is(verb, "with"), is(verb, "values"), is(verb, "table"):
		return c.query()
	case is(verb, "explain"):
		return c.explain()
	case is(verb, "set"), is(verb, "reset"), is(verb, "show"), is(verb, "discard"):
		return c.setting(verb)
	case is(verb, "copy"), is(verb, "listen"), is(verb, "unlisten"), is(verb, "notify"):
		c.class.Unsupported = strings.ToUpper(verb)
		c.skipStatement()
		return KindUnsupported
	case transactionVerbs.has(verb):
		return c.transaction(verb)
	default:
		return c.other(verb)
	}
}

// query reads a statement that begins as a query does and looks for whatever
// could make it more than a read.
func (c *classifier) query() Kind {
	kind := KindRead
	for !c.atEnd() {
		if !c.readsOnly() {
			kind = KindWrite
		}
		c.notePin()
		c.advance()
	}
	return kind
}

// readsOnly judges the current token of a query.
func (c *classifier) readsOnly() bool {
	word := c.textOf(c.current)
	switch {
	case c.current.kind == tokenWord && writeWords.has(word):
		return false
	case c.current.kind == tokenWord && c.follows("for") && lockWords.has(word):
		return false
	case c.isSymbol('('):
		return c.parenthesisIsHarmless()
	default:
		return true
	}
}

func (c *classifier) follows(lower string) bool {
	return c.previous.kind == tokenWord && is(c.textOf(c.previous), lower)
}

// parenthesisIsHarmless judges what stands before an opening parenthesis: a
// keyword, a known function, or the name of a table with its columns.
func (c *classifier) parenthesisIsHarmless() bool {
	quoted := c.previous.kind == tokenQuotedWord
	if !quoted && c.previous.kind != tokenWord {
		return true
	}
	before := ""
	if c.beforePrevious.kind != tokenEnd {
		before = c.textOf(c.beforePrevious)
	}
	if is(before, "as") || is(before, "with") || is(before, "recursive") {
		return true
	}
	name := c.textOf(c.previous)
	if quoted || before == "." {
		return false
	}
	return keywords.has(name) || readFunctions.has(name) || isContextKeyword(before, name)
}

func isContextKeyword(before, name string) bool {
	for keyword, places := range contextKeywords {
		if !is(name, keyword) {
			continue
		}
		for _, place := range places {
			if is(before, place) {
				return true
			}
		}
	}
	return false
}

// notePin looks for what leaves state on the session.
func (c *classifier) notePin() {
	if c.current.kind != tokenWord && c.current.kind != tokenQuotedWord {
		return
	}
	word := strings.Trim(c.textOf(c.current), `"`)
	temporary := is(word, "temp") || is(word, "temporary")
	if is(word, "pg_temp") || pinningFunctions.has(word) || temporary && c.makesTable() {
		c.class.Pins = true
	}
}

// makesTable reports whether TEMP at this place belongs to CREATE or INTO.
func (c *classifier) makesTable() bool {
	return c.follows("create") || c.follows("global") || c.follows("local") ||
		c.follows("into") || c.follows("replace")
}

// isAnalyse reports whether the current token is the word in either spelling.
func (c *classifier) isAnalyse() bool {
	return c.isWord(analyseWord) || c.isWord("analyse")
}

// explain reads EXPLAIN, which runs its statement only when told to.
func (c *classifier) explain() Kind {
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
	if c.query() == KindWrite {
		return KindWrite
	}
	return kind
}

// other reads a statement that counts as a write.
func (c *classifier) other(verb string) Kind {
	switch {
	case is(verb, "prepare"):
		c.advance()
		if c.isWord("transaction") {
			return c.refuseTwoPhase()
		}
		c.class.Pins = true
	case is(verb, "load"):
		c.class.Pins = true
	case is(verb, "do"):
		c.class.Pins = c.class.Pins || c.blockPins()
	}
	declare := is(verb, "declare")
	for !c.atEnd() {
		c.notePin()
		if declare && c.isWord("hold") && c.follows("with") {
			c.class.Pins = true
		}
		c.advance()
	}
	return KindWrite
}

// blockPins looks in the body of a DO block, or in its first string, for words
// that leave state on the session.
func (c *classifier) blockPins() bool {
	for !c.atEnd() {
		c.advance()
		if c.current.kind == tokenString && bodyPins(c.textOf(c.current)) {
			return true
		}
	}
	return false
}

// bodyPins reports whether code holds a word that may leave state behind.
func bodyPins(code string) bool {
	code = strings.ToLower(code)
	for _, word := range []string{"temp", "advisory", "set", "prepare", "load", "execute", "hold"} {
		if strings.Contains(code, word) {
			return true
		}
	}
	return false
}
