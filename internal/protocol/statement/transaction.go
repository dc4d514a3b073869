package statement

var transactionVerbs = newWordSet(`begin start commit end rollback abort savepoint release`)

// transaction reads a statement that begins with one of transactionVerbs.
func (c *classifier) transaction(verb string) Kind {
	c.advance()
	switch {
	case is(verb, "begin"), is(verb, "start"):
		c.class.ReadOnly = c.readOnlyModes()
		return KindBegin
	case is(verb, "savepoint"), is(verb, "release"):
		c.skipStatement()
		return KindSavepoint
	}
	if c.isWord("prepared") {
		return c.refuseTwoPhase()
	}
	rollback := is(verb, "rollback") || is(verb, "abort")
	partial := false
	for !c.atEnd() {
		partial = partial || c.isWord("to")
		c.advance()
	}
	switch {
	case rollback && partial:
		return KindSavepoint
	case rollback:
		return KindRollback
	default:
		return KindCommit
	}
}

// refuseTwoPhase reads a statement of two-phase commit, whose transaction would
// outlive its connection and its caller.
func (c *classifier) refuseTwoPhase() Kind {
	c.class.Unsupported = "two-phase commit"
	c.skipStatement()
	return KindUnsupported
}

// readOnlyModes reads the modes of BEGIN. A serializable transaction counts as
// one that writes, because a replica cannot serve it.
func (c *classifier) readOnlyModes() bool {
	readOnly, serializable := false, false
	for !c.atEnd() {
		switch {
		case c.isWord("only") && c.follows("read"):
			readOnly = true
		case c.isWord("write") && c.follows("read"):
			readOnly = false
		case c.isWord("serializable"):
			serializable = true
		}
		c.advance()
	}
	return readOnly && !serializable
}
