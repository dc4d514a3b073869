package statement

var transactionVerbs = newWordSet(`begin start commit end rollback abort savepoint release`)

// parseTransaction reads a statement that starts with one of transactionVerbs.
func (c *classifier) parseTransaction(verb string) Kind {
	c.advance()
	switch {
	case equalFold(verb, "begin"), equalFold(verb, "start"):
		c.class.ReadOnly = c.parseTransactionModes()
		return KindBegin
	case equalFold(verb, "savepoint"), equalFold(verb, "release"):
		c.skipStatement()
		return KindSavepoint
	}
	if c.isWord("prepared") {
		return c.rejectTwoPhase()
	}
	rollback := equalFold(verb, "rollback") || equalFold(verb, "abort")
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

// rejectTwoPhase reads a two-phase commit statement. These are unsupported
// because a prepared transaction would outlive its connection and its client.
func (c *classifier) rejectTwoPhase() Kind {
	c.class.Unsupported = "two-phase commit"
	c.skipStatement()
	return KindUnsupported
}

// parseTransactionModes reads the modes of BEGIN and reports whether the
// transaction is read-only. A serializable transaction counts as one that
// writes, because a replica cannot serve it.
func (c *classifier) parseTransactionModes() bool {
	readOnly, serializable := false, false
	for !c.atEnd() {
		switch {
		case c.isWord("only") && c.previousIs("read"):
			readOnly = true
		case c.isWord("write") && c.previousIs("read"):
			readOnly = false
		case c.isWord("serializable"):
			serializable = true
		}
		c.advance()
	}
	return readOnly && !serializable
}
