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

// executeControl runs group_status, group_fence, group_promote or group_follow
// and returns the resulting status as one row.
func (n *node) executeControl(statement string) (*result, error) {
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
	status, err := n.applyChange(name, state.Term(number), args[1:])
	if err != nil {
		return nil, err
	}
	return statusResult(status), nil
}

func (n *node) applyChange(name string, term state.Term, args []string) (state.DatabaseStatus, error) {
	switch name {
	case "fence":
		return n.fence(term, state.InstanceID(args[0]))
	case "promote":
		return n.promote(term, state.InstanceID(args[0]))
	default:
		return n.follow(term, state.DatabaseID(args[0]), args[1])
	}
}

// controlArguments splits a comma-separated list of numbers and quoted strings
// and removes the quotes.
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

// textResult returns a result of text columns with the given row, or without
// rows where row is nil.
func textResult(names []string, row []any, tag string) *result {
	res := &result{tag: tag}
	for _, name := range names {
		res.columns = append(res.columns, column{name: name, oid: pgtype.TextOID})
	}
	if row != nil {
		res.rows = [][]any{row}
	}
	return res
}
