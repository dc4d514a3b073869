package statement

import (
	"strings"
	"time"
	"unicode"
)

const (
	hintPrefix = "cyclamenpin:"
	// hintSpace is the white space between and after hints.
	hintSpace = " \t\r\n"
	// maxRequestIDBytes is the longest request id that is accepted.
	maxRequestIDBytes = 128
)

// parseHints applies the hints in the block comments of text. The text contains
// only white space, comments and semicolons.
func parseHints(text string, class *Class) {
	s := scanner{text: text}
	for s.pos < len(text) {
		start := s.pos
		switch {
		case strings.HasPrefix(text[start:], "/*"):
			s.skipComment()
			parseCommentHints(text[start:s.pos], class)
		case strings.HasPrefix(text[start:], "--"):
			s.skipLine()
		default:
			s.pos++
		}
	}
}

// parseCommentHints applies the hints of one block comment. Hints follow the
// prefix as name=value and are separated by commas or white space.
func parseCommentHints(comment string, class *Class) {
	body := strings.TrimLeftFunc(strings.TrimSuffix(strings.TrimPrefix(comment, "/*"), "*/"), unicode.IsSpace)
	body, found := strings.CutPrefix(body, hintPrefix)
	if !found {
		return
	}
	for body != "" {
		hint := body
		body = ""
		if end := strings.IndexAny(hint, ","+hintSpace); end >= 0 {
			hint, body = hint[:end], hint[end+1:]
		}
		if hint = strings.TrimPrefix(hint, hintPrefix); hint != "" {
			applyHint(hint, class)
		}
	}
}

// applyHint applies one hint. It marks the whole string as unsupported if the
// hint is invalid: a statement with a mistyped request id must not run without
// one.
func applyHint(hint string, class *Class) {
	name, value, _ := strings.Cut(hint, "=")
	switch name {
	case "request_id":
		repeated := class.RequestID != "" && class.RequestID != value
		if value == "" || len(value) > maxRequestIDBytes || repeated {
			class.Unsupported = "hint request_id"
			return
		}
		class.RequestID = value
	case "max_age":
		age, err := time.ParseDuration(value)
		if err != nil || age < 0 {
			class.Unsupported = "hint max_age"
			return
		}
		class.MaxAge, class.HasMaxAge = age, true
	default:
		class.Unsupported = "unknown hint"
	}
}
