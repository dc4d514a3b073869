package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Timeout limits the duration of a run.
const Timeout = 2 * time.Minute

// section is a named measurement of one part of an instance.
type section struct {
	name string
	run  func(ctx context.Context, report *Report) error
}

func sections() []section {
	return []section{
		{"membership", measureMembership},
		{"ownership", measureOwnership},
		{"groups", measureGroups},
		{"configuration", measureConfiguration},
		{"spread", measureSpread},
		{"links", measureLinks},
		{"watchers", measureWatchers},
		{"statements", measureStatements},
		{"sessions", measureSessions},
	}
}

// Sections returns the names of all sections that can be measured.
func Sections() []string {
	var names []string
	for _, section := range sections() {
		names = append(names, section.name)
	}
	return names
}

// Run measures the named sections, or all sections if no name is given.
func Run(ctx context.Context, names []string) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	for _, name := range names {
		if !slices.Contains(Sections(), name) {
			return nil, eris.Errorf("unknown section %q: the sections are %v", name, Sections())
		}
	}
	report := newReport()
	for _, section := range sections() {
		if len(names) > 0 && !slices.Contains(names, section.name) {
			continue
		}
		if err := section.run(ctx, report); err != nil {
			return report, eris.Wrapf(err, "measure section %s", section.name)
		}
	}
	return report, nil
}
