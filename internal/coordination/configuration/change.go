package configuration

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Change lists the entries that an edit adds, replaces or removes.
type Change struct {
	PutPlans     []state.Plan   `json:"put_plans,omitempty"`
	RemovePlans  []state.PlanID `json:"remove_plans,omitempty"`
	PutLimits    []state.Limit  `json:"put_limits,omitempty"`
	RemoveLimits []state.PlanID `json:"remove_limits,omitempty"`
}

// IsEmpty reports whether the change affects no entry.
func (c Change) IsEmpty() bool {
	return len(c.PutPlans)+len(c.RemovePlans)+len(c.PutLimits)+len(c.RemoveLimits) == 0
}

// EntryList says which of the two lists an entry is in.
type EntryList string

// The two lists.
const (
	ListPlans  EntryList = "plans"
	ListLimits EntryList = "limits"
)

// Entry identifies one entry of the lists. Both lists are keyed by plan.
type Entry struct {
	List EntryList    `json:"list"`
	Plan state.PlanID `json:"plan"`
}

// String formats the entry as "plans/id".
func (e Entry) String() string {
	return string(e.List) + "/" + string(e.Plan)
}

// Entries returns the entries that the change affects, sorted.
func (c Change) Entries() []Entry {
	entries := make([]Entry, 0)
	for _, plan := range c.PutPlans {
		entries = append(entries, Entry{ListPlans, plan.ID})
	}
	for _, id := range c.RemovePlans {
		entries = append(entries, Entry{ListPlans, id})
	}
	for _, limit := range c.PutLimits {
		entries = append(entries, Entry{ListLimits, limit.Plan})
	}
	for _, id := range c.RemoveLimits {
		entries = append(entries, Entry{ListLimits, id})
	}
	slices.SortFunc(entries, compareEntries)
	return entries
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.List, b.List), cmp.Compare(a.Plan, b.Plan))
}

// Diff returns the change that turns the lists of from into those of to.
func Diff(from, to *state.Configuration) Change {
	var change Change
	change.PutPlans, change.RemovePlans = diffList(from.Plans, to.Plans, planKey)
	change.PutLimits, change.RemoveLimits = diffList(withoutNil(from).Limits, withoutNil(to).Limits, limitKey)
	return change
}

func planKey(plan state.Plan) state.PlanID    { return plan.ID }
func limitKey(limit state.Limit) state.PlanID { return limit.Plan }

func diffList[E any](from, to []E, key func(E) state.PlanID) (put []E, removed []state.PlanID) {
	old := byKey(from, key)
	for _, entry := range to {
		before, found := old[key(entry)]
		if !found || !reflect.DeepEqual(before, entry) {
			put = append(put, entry)
		}
	}
	kept := byKey(to, key)
	for _, entry := range from {
		if _, found := kept[key(entry)]; !found {
			removed = append(removed, key(entry))
		}
	}
	return put, removed
}

func byKey[E any](list []E, key func(E) state.PlanID) map[state.PlanID]E {
	entries := make(map[state.PlanID]E, len(list))
	for _, entry := range list {
		entries[key(entry)] = entry
	}
	return entries
}

// Apply returns a copy of base with the change applied and both lists sorted
// by plan. The copy has the revision and edit id of base. A plan in PutPlans
// whose password verifier is KeptVerifier keeps the verifier it has in base.
func (c Change) Apply(base *state.Configuration) *state.Configuration {
	next := withoutNil(base)
	verifiers := byKey(base.Plans, planKey)
	puts := slices.Clone(c.PutPlans)
	for i, plan := range puts {
		if before, found := verifiers[plan.ID]; found && plan.PasswordVerifier == KeptVerifier {
			puts[i].PasswordVerifier = before.PasswordVerifier
		}
	}
	next.Plans = applyList(next.Plans, puts, c.RemovePlans, planKey)
	next.Limits = applyList(next.Limits, c.PutLimits, c.RemoveLimits, limitKey)
	next = withoutNil(&next)
	return &next
}

// applyList removes and replaces entries of list, and sorts the result by key.
// Entries of puts with the same key all stay in the result, so that Validate
// can report the duplicates.
func applyList[E any](list, puts []E, removed []state.PlanID, key func(E) state.PlanID) []E {
	replaced := byKey(puts, key)
	result := make([]E, 0, len(list)+len(puts))
	for _, entry := range list {
		_, put := replaced[key(entry)]
		if !put && !slices.Contains(removed, key(entry)) {
			result = append(result, entry)
		}
	}
	result = append(result, puts...)
	slices.SortStableFunc(result, func(a, b E) int { return cmp.Compare(key(a), key(b)) })
	return result
}

// commonEntries returns the entries that both changes affect.
func commonEntries(a, b Change) []Entry {
	others := b.Entries()
	entries := make([]Entry, 0)
	for _, entry := range a.Entries() {
		if slices.Contains(others, entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}
