package statement

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuotedIdentifier
	tokenString
	tokenNumber
	tokenSymbol
)

// token is a part of the text, from byte offset start up to end.
type token struct {
	kind       tokenKind
	start, end int
	// escaped is set for a string of the form E'...'.
	escaped bool
}

// scanner splits SQL into tokens by PostgreSQL's lexical rules, without
// allocating.
type scanner struct {
	text string
	pos  int
	// ambiguous is set when a comment, string or quoted identifier is not
	// terminated, or when the text would have another meaning with
	// standard_conforming_strings off.
	ambiguous bool
}

func isSpace(c byte) bool {
	return c == ' ' || c >= '\t' && c <= '\r'
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}

// byteAt returns the byte at offset, or 0 past the end of the text.
func (s *scanner) byteAt(offset int) byte {
	if offset < len(s.text) {
		return s.text[offset]
	}
	return 0
}

// skipSpace skips white space and comments.
func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case isSpace(c):
			s.pos++
		case c == '-' && s.byteAt(s.pos+1) == '-':
			s.skipLine()
		case c == '/' && s.byteAt(s.pos+1) == '*':
			s.skipComment()
		default:
			return
		}
	}
}

func (s *scanner) skipLine() {
	length := strings.IndexAny(s.text[s.pos:], "\r\n")
	if length < 0 {
		s.pos = len(s.text)
		return
	}
	s.pos += length
}

// skipComment skips a block comment, which may contain nested ones.
func (s *scanner) skipComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case s.text[s.pos] == '/' && s.byteAt(s.pos+1) == '*':
			depth++
			s.pos += 2
		case s.text[s.pos] == '*' && s.byteAt(s.pos+1) == '/':
			depth--
			s.pos += 2
			if depth == 0 {
				return
			}
		default:
			s.pos++
		}
	}
	s.ambiguous = true
}

// next returns the next token. After the last one it returns a token of kind
// tokenEnd.
func (s *scanner) next() token {
	s.skipSpace()
	start := s.pos
	if start >= len(s.text) {
		return token{kind: tokenEnd, start: start, end: start}
	}
	c := s.text[start]
	switch {
	case isWordStart(c):
		return s.scanWord(start)
	case isDigit(c) || c == '.' && isDigit(s.byteAt(start+1)):
		return s.scanNumber(start)
	case c == '\'':
		return s.scanString(start, false)
	case c == '"':
		return s.scanQuotedIdentifier(start)
	case c == '$':
		return s.scanDollar(start)
	default:
		s.pos++
		return token{kind: tokenSymbol, start: start, end: s.pos}
	}
}

func (s *scanner) scanWord(start int) token {
	for s.pos < len(s.text) && isWordPart(s.text[s.pos]) {
		s.pos++
	}
	if s.pos == start+1 && s.byteAt(s.pos) == '\'' {
		switch s.text[start] {
		case 'e', 'E':
			return s.scanString(start, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return s.scanString(start, false)
		}
	}
	return token{kind: tokenWord, start: start, end: s.pos}
}

func (s *scanner) scanNumber(start int) token {
	for s.pos < len(s.text) && (isDigit(s.text[s.pos]) || s.text[s.pos] == '.') {
		s.pos++
	}
	return token{kind: tokenNumber, start: start, end: s.pos}
}

// scanString reads a string whose opening quote is at s.pos, including its
// continuations on later lines.
func (s *scanner) scanString(start int, escaped bool) token {
	for {
		s.pos++
		s.scanStringBody(escaped)
		end := s.pos
		if !s.skipToContinuation() {
			s.pos = end
			return token{kind: tokenString, start: start, end: end, escaped: escaped}
		}
	}
}

func (s *scanner) scanStringBody(escaped bool) {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case c == '\\' && escaped:
			s.pos += 2
		case c == '\\' && s.byteAt(s.pos+1) == '\'':
			s.ambiguous = true
			s.pos++
		case c == '\'' && s.byteAt(s.pos+1) == '\'':
			s.pos += 2
		case c == '\'':
			s.pos++
			return
		default:
			s.pos++
		}
	}
	s.pos = len(s.text)
	s.ambiguous = true
}

// skipToContinuation skips white space after a string that ended at s.pos. It
// reports whether the string continues there: the white space contained a line
// break and is followed by a quote.
func (s *scanner) skipToContinuation() bool {
	newline := false
	for s.pos < len(s.text) && isSpace(s.text[s.pos]) {
		newline = newline || s.text[s.pos] == '\n' || s.text[s.pos] == '\r'
		s.pos++
	}
	return newline && s.byteAt(s.pos) == '\''
}

func (s *scanner) scanQuotedIdentifier(start int) token {
	s.pos++
	for s.pos < len(s.text) {
		switch {
		case s.text[s.pos] != '"':
			s.pos++
		case s.byteAt(s.pos+1) == '"':
			s.pos += 2
		default:
			s.pos++
			return token{kind: tokenQuotedIdentifier, start: start, end: s.pos}
		}
	}
	s.ambiguous = true
	return token{kind: tokenQuotedIdentifier, start: start, end: s.pos}
}

// scanDollar reads a parameter such as $1, a dollar-quoted string, or a lone
// dollar sign.
func (s *scanner) scanDollar(start int) token {
	s.pos++
	if isDigit(s.byteAt(s.pos)) {
		return s.scanNumber(start)
	}
	tagEnd := s.pos
	for tagEnd < len(s.text) && isWordPart(s.text[tagEnd]) && s.text[tagEnd] != '$' {
		tagEnd++
	}
	if s.byteAt(tagEnd) != '$' {
		return token{kind: tokenSymbol, start: start, end: s.pos}
	}
	delimiter := s.text[start : tagEnd+1]
	length := strings.Index(s.text[tagEnd+1:], delimiter)
	if length < 0 {
		s.ambiguous = true
		s.pos = len(s.text)
	} else {
		s.pos = tagEnd + 1 + length + len(delimiter)
	}
	return token{kind: tokenString, start: start, end: s.pos}
}
