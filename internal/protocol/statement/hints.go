package statement

import (
	"strings"
	"time"
)

const (
	hintPrefix = "cyclamenpin:"
	// maxRequestIDBytes bounds the length of a request id.
	maxRequestIDBytes = 128
)

// readHints reads the hints in the block comments of text, which holds white
// space, comments and semicolons only.
func readHints(text string, class *Class) {
	s := scanner{text: text}
	for s.pos < len(text) {
		start := s.pos
		switch {
		case strings.HasPrefix(text[start:], "/*"):
			s.skipComment()
			readComment(text[start:s.pos], class)
		case strings.HasPrefix(text[start:], "--"):
			s.skipLine()
		default:
			s.pos++
		}
	}
}

// readComment reads the hints of one block comment. Hints follow the prefix as
// name=value and are separated by commas or spaces.
func readComment(comment string, class *Class) {
	body := strings.TrimSpace(strings.TrimSuffix(strings.TrimPrefix(comment, "/*"), "*/"))
	body, found := strings.CutPrefix(body, hintPrefix)
	if !found {
		return
	}
	for body != "" {
		hint := body
		body = ""
		if end := strings.IndexAny(hint, ", \t\r\n"); end >= 0 {
			hint, body = hint[:end], hint[end+1:]
		}
		if hint = strings.TrimPrefix(hint, hintPrefix); hint != "" {
			applyHint(hint, class)
		}
	}
}

// applyHint refuses the string when it cannot honour a hint: a caller who
// mistypes a request id must not get execution without one.
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
