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

// cutPair splits id=value. found is false if either part is empty or there is no
// equals sign.
func cutPair(text string) (id, value string, found bool) {
	id, value, found = strings.Cut(text, "=")
	return id, value, found && id != "" && value != ""
}

// usageError returns a *UsageError as an error.
func usageError(message string) error {
	return &UsageError{Message: message}
}
