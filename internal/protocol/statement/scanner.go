package statement

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuotedWord
	tokenString
	tokenNumber
	tokenSymbol
)

// token is a slice of the text. start and end are byte offsets.
type token struct {
	kind       tokenKind
	start, end int
	// escaped is set on a string of the form E'...'.
	escaped bool
}

// scanner splits SQL into tokens by PostgreSQL's lexical rules, without
// allocating.
type scanner struct {
	text string
	pos  int
	// unsure is set when the text does not end where it should, or means
	// another thing when standard_conforming_strings is off.
	unsure bool
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

func (s *scanner) at(offset int) byte {
	if offset < len(s.text) {
		return s.text[offset]
	}
	return 0
}

// skipGap passes over white space and comments.
func (s *scanner) skipGap() {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case isSpace(c):
			s.pos++
		case c == '-' && s.at(s.pos+1) == '-':
			s.skipLine()
		case c == '/' && s.at(s.pos+1) == '*':
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

// skipComment passes over a block comment, which may hold others.
func (s *scanner) skipComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case s.text[s.pos] == '/' && s.at(s.pos+1) == '*':
			depth++
			s.pos += 2
		case s.text[s.pos] == '*' && s.at(s.pos+1) == '/':
			depth--
			s.pos += 2
			if depth == 0 {
				return
			}
		default:
			s.pos++
		}
	}
	s.unsure = true
}

// next returns the next token, which is of kind tokenEnd after the last one.
func (s *scanner) next() token {
	s.skipGap()
	start := s.pos
	if start >= len(s.text) {
		return token{kind: tokenEnd, start: start, end: start}
	}
	c := s.text[start]
	switch {
	case isWordStart(c):
		return s.word(start)
	case isDigit(c) || c == '.' && isDigit(s.at(start+1)):
		return s.number(start)
	case c == '\'':
		return s.quotedString(start, false)
	case c == '"':
		return s.quotedWord(start)
	case c == '$':
		return s.dollar(start)
	default:
		s.pos++
		return token{kind: tokenSymbol, start: start, end: s.pos}
	}
}

func (s *scanner) word(start int) token {
	for s.pos < len(s.text) && isWordPart(s.text[s.pos]) {
		s.pos++
	}
	if s.pos == start+1 && s.at(s.pos) == '\'' {
		switch s.text[start] {
		case 'e', 'E':
			return s.quotedString(start, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return s.quotedString(start, false)
		}
	}
	return token{kind: tokenWord, start: start, end: s.pos}
}

func (s *scanner) number(start int) token {
	for s.pos < len(s.text) && (isDigit(s.text[s.pos]) || s.text[s.pos] == '.') {
		s.pos++
	}
	return token{kind: tokenNumber, start: start, end: s.pos}
}

// quotedString reads a string whose opening quote is at s.pos, together with
// its continuations on later lines.
func (s *scanner) quotedString(start int, escaped bool) token {
	for {
		s.pos++
		s.stringBody(escaped)
		end := s.pos
		if !s.continues() {
			s.pos = end
			return token{kind: tokenString, start: start, end: end, escaped: escaped}
		}
	}
}

func (s *scanner) stringBody(escaped bool) {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case c == '\\' && escaped:
			s.pos += 2
		case c == '\\' && s.at(s.pos+1) == '\'':
			s.unsure = true
			s.pos++
		case c == '\'' && s.at(s.pos+1) == '\'':
			s.pos += 2
		case c == '\'':
			s.pos++
			return
		default:
			s.pos++
		}
	}
	s.pos = len(s.text)
	s.unsure = true
}

// continues reports whether a string that ended at s.pos goes on at a quote
// after white space with a line end, and moves there.
func (s *scanner) continues() bool {
	newline := false
	for s.pos < len(s.text) && isSpace(s.text[s.pos]) {
		newline = newline || s.text[s.pos] == '\n' || s.text[s.pos] == '\r'
		s.pos++
	}
	return newline && s.at(s.pos) == '\''
}

func (s *scanner) quotedWord(start int) token {
	s.pos++
	for s.pos < len(s.text) {
		switch {
		case s.text[s.pos] != '"':
			s.pos++
		case s.at(s.pos+1) == '"':
			s.pos += 2
		default:
			s.pos++
			return token{kind: tokenQuotedWord, start: start, end: s.pos}
		}
	}
	s.unsure = true
	return token{kind: tokenQuotedWord, start: start, end: s.pos}
}

// dollar reads a parameter, a dollar-quoted string, or a lone dollar sign.
func (s *scanner) dollar(start int) token {
	s.pos++
	if isDigit(s.at(s.pos)) {
		return s.number(start)
	}
	tagEnd := s.pos
	for tagEnd < len(s.text) && isWordPart(s.text[tagEnd]) && s.text[tagEnd] != '$' {
		tagEnd++
	}
	if s.at(tagEnd) != '$' {
		return token{kind: tokenSymbol, start: start, end: s.pos}
	}
	delimiter := s.text[start : tagEnd+1]
	length := strings.Index(s.text[tagEnd+1:], delimiter)
	if length < 0 {
		s.unsure = true
		s.pos = len(s.text)
	} else {
		s.pos = tagEnd + 1 + length + len(delimiter)
	}
	return token{kind: tokenString, start: start, end: s.pos}
}
