// Package modelcheck explores all reachable states of small models in tests.
package modelcheck

import (
	"slices"
	"strings"
)

// Step is a transition of a model. Apply changes the state and reports whether the
// transition is possible in it.
type Step[S comparable] struct {
	Name  string
	Apply func(*S) bool
}

// Explore visits all states that are reachable from first, breadth first. It returns
// their number and the shortest trace to a violation, "" if there is none. violation
// names what is broken in a state, "" if nothing is.
func Explore[S comparable](first S, steps []Step[S], violation func(*S) string) (states int, trace string) {
	type visit struct{ from, step int32 }
	seen := map[S]struct{}{first: {}}
	queue, visits := []S{first}, []visit{{-1, -1}}
	for at := 0; at < len(queue); at++ {
		for n := range steps {
			next := queue[at]
			if !steps[n].Apply(&next) {
				continue
			}
			if _, known := seen[next]; known {
				continue
			}
			seen[next] = struct{}{}
			queue, visits = append(queue, next), append(visits, visit{int32(at), int32(n)})
			if broken := violation(&next); broken != "" {
				names := []string{broken}
				for v := visits[len(visits)-1]; v.from >= 0; v = visits[v.from] {
					names = append(names, steps[v.step].Name)
				}
				slices.Reverse(names)
				return len(queue), strings.Join(names, ", ")
			}
		}
	}
	return len(queue), ""
}
