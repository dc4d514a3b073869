package database

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var (
	controlPattern  = regexp.MustCompile(`(?is)^select\s+\*\s+from\s+group_(status|fence|promote|follow)\s*\(([^)]*)\)$`)
	controlColumns  = []string{"database", "term", "role", "log_term", "log_offset", "primary_contact_age_ms"}
	controlArgCount = map[string]int{"status": 0, "fence": 2, "promote": 2, "follow": 3}
)

// control runs one of the group statements.
func (n *node) control(statement string) (*result, error) {
	match := controlPattern.FindStringSubmatch(statement)
	name := strings.ToLower(match[1])
	args := controlArguments(match[2])
	if len(args) != controlArgCount[name] {
		return nil, &sqlError{codeSyntaxError, "wrong number of arguments for group_" + name}
	}
	if name == "status" {
		return statusResult(n.status()), nil
	}
	number, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, &sqlError{codeInvalidTextValue, "invalid term " + args[0]}
	}
	status, err := n.change(name, state.Term(number), args[1:])
	if err != nil {
		return nil, err
	}
	return statusResult(status), nil
}

func (n *node) change(name string, term state.Term, args []string) (state.DatabaseStatus, error) {
	switch name {
	case "fence":
		return n.fence(term, state.InstanceID(args[0]))
	case "promote":
		return n.promote(term, state.InstanceID(args[0]))
	default:
		return n.follow(term, state.DatabaseID(args[0]), args[1])
	}
}

// controlArguments splits a list of numbers and quoted strings.
func controlArguments(list string) []string {
	if strings.TrimSpace(list) == "" {
		return nil
	}
	var args []string
	for _, part := range strings.Split(list, ",") {
		args = append(args, unquote(part))
	}
	return args
}

func statusResult(status state.DatabaseStatus) *result {
	row := []any{
		string(status.Database),
		strconv.FormatUint(uint64(status.Term), 10),
		status.Role.String(),
		strconv.FormatUint(uint64(status.Log.Term), 10),
		strconv.FormatUint(status.Log.Offset, 10),
		strconv.FormatInt(status.PrimaryContactAge.Milliseconds(), 10),
	}
	return textResult(controlColumns, row, "SELECT 1")
}

// textResult makes a result of text columns with at most one row.
func textResult(names []string, row []any, tag string) *result {
	answer := &result{tag: tag}
	for _, name := range names {
		answer.columns = append(answer.columns, column{name: name, oid: pgtype.TextOID})
	}
	if row != nil {
		answer.rows = [][]any{row}
	}
	return answer
}
