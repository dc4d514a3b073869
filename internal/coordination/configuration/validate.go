package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Bounds of the fields of plans and limits.
const (
	MaxWeight = 100
	// MaxConnectionsBound is higher than what any backend server accepts.
	MaxConnectionsBound = 10_000
	// MaxStalenessBoundMillis is one day.
	MaxStalenessBoundMillis = 24 * 60 * 60 * 1000
	// MaxIdleBoundMillis is one day.
	MaxIdleBoundMillis = 24 * 60 * 60 * 1000
	// MaxNameLength is the maximum length of a plan id or user name, in bytes.
	// PostgreSQL truncates longer user names.
	MaxNameLength = 63
)

// FieldError describes an invalid field of a configuration.
type FieldError struct {
	// Path identifies the field, such as limits[3].max_connections.
	Path string `json:"path"`
	// Plan is the plan of the entry that contains the field, empty if the field
	// is in no entry.
	Plan state.PlanID `json:"plan,omitempty"`
	// Line is the line in the operators' file, counted from 1; zero if it is not
	// known or the lists did not come from a file.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String formats the error as "line 7: limits[3].weight (plan a): message",
// without the line or the plan if it is not set.
func (e FieldError) String() string {
	place := e.Path
	if e.Plan != "" {
		place += fmt.Sprintf(" (plan %s)", e.Plan)
	}
	if e.Line != 0 {
		place = fmt.Sprintf("line %d: %s", e.Line, place)
	}
	return place + ": " + e.Message
}

// ValidationError lists all invalid fields of a configuration. Nothing of the
// configuration was applied.
type ValidationError struct {
	Fields []FieldError `json:"fields"`
}

// Error returns a headline and one line for each invalid field.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Fields)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the configuration", len(e.Fields)))
	for _, field := range e.Fields {
		lines = append(lines, field.String())
	}
	return strings.Join(lines, "\n")
}

// Validate checks the two lists, including the references between them. Each
// limit must name an existing plan, and its databases must be in groups; the
// databases are not checked if groups is nil. A plan without a limit is valid
// but may not access any database. The error is a *ValidationError.
func Validate(configuration *state.Configuration, groups []state.GroupID) error {
	v := &validation{groups: groups, checkGroups: groups != nil}
	return v.check(configuration)
}

func (v *validation) check(configuration *state.Configuration) error {
	v.plans(configuration.Plans)
	v.limits(configuration)
	if len(v.fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: v.fields}
}

// validation collects the validation errors of one configuration.
type validation struct {
	groups      []state.GroupID
	checkGroups bool
	// mayKeepVerifier holds the plans whose verifier may be KeptVerifier.
	mayKeepVerifier map[state.PlanID]bool
	// plan is the plan of the entry that is being checked.
	plan   state.PlanID
	fields []FieldError
}

func (v *validation) add(path, format string, arguments ...any) {
	v.fields = append(v.fields, FieldError{Path: path, Plan: v.plan, Message: fmt.Sprintf(format, arguments...)})
}

func (v *validation) plans(plans []state.Plan) {
	ids := make(map[state.PlanID]int, len(plans))
	users := make(map[string]int, len(plans))
	for i, plan := range plans {
		path := fmt.Sprintf("plans[%d]", i)
		v.plan = plan.ID
		v.name(path+".id", string(plan.ID))
		v.name(path+".user", plan.User)
		if first, found := ids[plan.ID]; found {
			v.add(path+".id", "plan %q stands at plans[%d] already", plan.ID, first)
		} else {
			ids[plan.ID] = i
		}
		if first, found := users[plan.User]; found {
			v.add(path+".user", "user %q is that of plans[%d] already", plan.User, first)
		} else {
			users[plan.User] = i
		}
		v.verifier(path+".password_verifier", plan)
	}
}

func (v *validation) verifier(path string, plan state.Plan) {
	if plan.PasswordVerifier == KeptVerifier && v.mayKeepVerifier[plan.ID] {
		return
	}
	if problem := verifierProblem(plan.PasswordVerifier); problem != "" {
		v.add(path, "%s", problem)
	}
}

func (v *validation) name(path, name string) {
	switch {
	case name == "":
		v.add(path, "must not be empty")
	case len(name) > MaxNameLength:
		v.add(path, "is longer than %d bytes", MaxNameLength)
	case strings.ContainsFunc(name, isUnprintable):
		v.add(path, "%q holds a space or an unprintable character", name)
	}
}

func isUnprintable(r rune) bool {
	const firstPrintable, deleteCharacter = '!', 0x7f
	return r < firstPrintable || r == deleteCharacter
}

func (v *validation) limits(configuration *state.Configuration) {
	known := make(map[state.PlanID]bool, len(configuration.Plans))
	for _, plan := range configuration.Plans {
		known[plan.ID] = true
	}
	seen := make(map[state.PlanID]int, len(configuration.Limits))
	for i, limit := range configuration.Limits {
		path := fmt.Sprintf("limits[%d]", i)
		v.plan = limit.Plan
		if !known[limit.Plan] {
			v.add(path+".plan", "there is no plan %q", limit.Plan)
		}
		if first, found := seen[limit.Plan]; found {
			v.add(path+".plan", "limit of plan %q stands at limits[%d] already", limit.Plan, first)
		} else {
			seen[limit.Plan] = i
		}
		v.limit(path, limit)
	}
}

func (v *validation) limit(path string, limit state.Limit) {
	v.between(path+".max_connections", int64(limit.MaxConnections), 1, MaxConnectionsBound)
	v.between(path+".max_staleness_ms", limit.MaxStalenessMillis, 0, MaxStalenessBoundMillis)
	v.between(path+".weight", int64(limit.Weight), 0, MaxWeight)
	v.between(path+".idle_in_transaction_ms", limit.IdleInTransactionMillis, 0, MaxIdleBoundMillis)
	switch limit.SessionScope {
	case "", state.ScopeConnection, state.ScopePlan:
	default:
		v.add(path+".session_scope", "is %q, want %q or %q", limit.SessionScope, state.ScopeConnection, state.ScopePlan)
	}
	v.databases(path+".databases", limit.Databases)
}

func (v *validation) between(path string, value, lowest, highest int64) {
	if value < lowest || value > highest {
		v.add(path, "is %d, want %d to %d", value, lowest, highest)
	}
}

func (v *validation) databases(path string, databases []state.GroupID) {
	for i, id := range databases {
		entry := fmt.Sprintf("%s[%d]", path, i)
		if slices.Contains(databases[:i], id) {
			v.add(entry, "database %q is listed twice", id)
		}
		if v.checkGroups && !slices.Contains(v.groups, id) {
			v.add(entry, "there is no database %q", id)
		}
	}
}
