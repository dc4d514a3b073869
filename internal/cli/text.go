package cli

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
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

// printable quotes a text that would not stay on its line as it is. Texts of clients
// hold any bytes.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}
