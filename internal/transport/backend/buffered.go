package backend

// Buffered reports whether Receive would return a message without waiting.
func (c *Conn) Buffered() bool {
	return c.reader.buffered()
}
