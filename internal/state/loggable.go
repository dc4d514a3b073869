package state

// maxLoggedBytes bounds how much of a text a log line holds.
const maxLoggedBytes = 500

// Loggable returns a text of a client or a database as it is logged: such a text may be as
// long as a message, and log lines wait in memory.
func Loggable(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return text[:maxLoggedBytes] + "..."
}
