package relay

import "github.com/cyclamenpin/cyclamenpin/internal/state"

// groupPositions holds one position for each group, usually of a single one.
type groupPositions []groupPosition

type groupPosition struct {
	group    state.GroupID
	position state.Position
}

// raise records a position of a group unless a later one is known.
func (p *groupPositions) raise(group state.GroupID, position state.Position) {
	for n := range *p {
		if known := &(*p)[n]; known.group == group {
			known.position = state.MaxPosition(known.position, position)
			return
		}
	}
	*p = append(*p, groupPosition{group, position})
}

// of returns the position of a group, zero if none is known.
func (p groupPositions) of(group state.GroupID) state.Position {
	for _, known := range p {
		if known.group == group {
			return known.position
		}
	}
	return state.Position{}
}
