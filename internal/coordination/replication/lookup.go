package replication

import "github.com/cyclamenpin/cyclamenpin/internal/state"

// Primary returns the group's primary and its term, or false while none is
// known.
func (w *Watcher) Primary() (state.DatabaseID, state.Term, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.primary == nil {
		return "", 0, false
	}
	return w.primary.database.ID, w.primaryTerm, true
}

// Holders returns the databases that are known to hold an acknowledged position.
func (w *Watcher) Holders(position state.Position) []state.DatabaseID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var holders []state.DatabaseID
	for _, m := range w.members {
		if m.holds(position) {
			holders = append(holders, m.database.ID)
		}
	}
	return holders
}
