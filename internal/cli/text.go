package cli

import (
	"maps"
	"slices"
	"strings"
)

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}

// cutPair splits id=value.
func cutPair(text string) (id, value string, found bool) {
	id, value, found = strings.Cut(text, "=")
	return id, value, found && id != "" && value != ""
}

// usageError makes the error of a command line that can't be carried out.
func usageError(message string) error {
	return &UsageError{Message: message}
}
