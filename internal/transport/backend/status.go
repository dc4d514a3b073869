package backend

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Columns of a status row.
const (
	columnDatabase = iota
	columnTerm
	columnRole
	columnLogTerm
	columnLogOffset
	columnContactAge
	columnCount
)

// parseStatus parses the single row that each group statement returns.
func parseStatus(rows []row) (state.DatabaseStatus, error) {
	if len(rows) != 1 || len(rows[0]) != columnCount {
		return state.DatabaseStatus{}, eris.New("status: want one row of six columns")
	}
	row := rows[0]
	var numbers [columnCount]uint64
	for _, column := range []int{columnTerm, columnLogTerm, columnLogOffset, columnContactAge} {
		number, err := strconv.ParseUint(string(row[column]), 10, 63)
		if err != nil {
			return state.DatabaseStatus{}, eris.Wrapf(err, "status: column %d", column)
		}
		numbers[column] = number
	}
	return state.DatabaseStatus{
		Database: state.DatabaseID(row[columnDatabase]),
		Term:     state.Term(numbers[columnTerm]),
		Role:     state.ParseRole(string(row[columnRole])),
		Log: state.Position{
			Term:   state.Term(numbers[columnLogTerm]),
			Offset: numbers[columnLogOffset],
		},
		PrimaryContactAge: time.Duration(numbers[columnContactAge]) * time.Millisecond,
	}, nil
}
