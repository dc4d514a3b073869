package execution

import "container/list"

// maxPreparedStatements bounds the prepared statements kept on one backend
// connection.
const maxPreparedStatements = 256

// statementCache tracks which named statements exist on a connection, with
// least-recently-used eviction.
type statementCache struct {
	limit   int
	order   *list.List // of string, most recently used in front
	entries map[string]*list.Element
}

func newStatementCache(limit int) *statementCache {
	return &statementCache{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

// has reports whether the statement exists and marks it as used.
func (c *statementCache) has(name string) bool {
	element, found := c.entries[name]
	if found {
		c.order.MoveToFront(element)
	}
	return found
}

func (c *statementCache) add(name string) {
	if c.has(name) {
		return
	}
	c.entries[name] = c.order.PushFront(name)
}

func (c *statementCache) remove(name string) {
	element, found := c.entries[name]
	if !found {
		return
	}
	c.order.Remove(element)
	delete(c.entries, name)
}

// excess evicts the least recently used statements beyond the limit and returns
// their names.
func (c *statementCache) excess() []string {
	var names []string
	for c.order.Len() > c.limit {
		name := c.order.Back().Value.(string)
		c.remove(name)
		names = append(names, name)
	}
	return names
}
