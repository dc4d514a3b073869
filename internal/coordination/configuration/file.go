package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// File is a file that operators edit: a JSON object with the list of plans, the
// list of limits, or both.
type File struct {
	// Revision is the revision that the file was written from, or nil.
	Revision *state.Revision `json:"revision"`
	Plans    []state.Plan    `json:"plans"`
	Limits   []state.Limit   `json:"limits"`

	// lines maps each path in the file to its line.
	lines map[string]int
}

// HasPlans reports whether the file holds the list of plans.
func (f *File) HasPlans() bool {
	return f.lines["plans"] > 0
}

// HasLimits reports whether the file holds the list of limits.
func (f *File) HasLimits() bool {
	return f.lines["limits"] > 0
}

// Merge returns a copy of base in which the lists that the file contains replace
// those of base.
func (f *File) Merge(base *state.Configuration) *state.Configuration {
	merged := *base
	if f.HasPlans() {
		merged.Plans = f.Plans
	}
	if f.HasLimits() {
		merged.Limits = f.Limits
	}
	return &merged
}

// Validate checks the result of Merge, but not whether the databases exist. A
// plan that is in base may keep its password verifier. The error is a
// *ValidationError with the line numbers of the file.
func (f *File) Validate(base *state.Configuration) error {
	v := &validation{mayKeepVerifier: make(map[state.PlanID]bool)}
	for _, plan := range base.Plans {
		v.mayKeepVerifier[plan.ID] = true
	}
	return f.addLines(v.check(f.Merge(base)))
}

// AddLines adds the file's paths and line numbers to the validation errors that
// the store returned for an edit made from the file. The paths can differ,
// because the store sorts the lists.
func (f *File) AddLines(err error) error {
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for i, field := range invalid.Fields {
		if field.Line == 0 {
			invalid.Fields[i].Path = f.pathOf(field)
		}
	}
	return f.addLines(err)
}

// pathOf returns the path of a field with the index that its entry has in the
// file. It returns the path unchanged if the file does not contain the entry.
func (f *File) pathOf(field FieldError) string {
	_, member, found := strings.Cut(field.Path, "]")
	if !found || field.Plan == "" {
		return field.Path
	}
	list := ListPlans
	index := slices.IndexFunc(f.Plans, func(plan state.Plan) bool { return plan.ID == field.Plan })
	if strings.HasPrefix(field.Path, string(ListLimits)) {
		list = ListLimits
		index = slices.IndexFunc(f.Limits, func(limit state.Limit) bool { return limit.Plan == field.Plan })
	}
	if index < 0 {
		return field.Path
	}
	return fmt.Sprintf("%s[%d]%s", list, index, member)
}

func (f *File) addLines(err error) error {
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for i := range invalid.Fields {
		invalid.Fields[i].Line = f.line(invalid.Fields[i].Path)
	}
	return err
}

// line returns the line of a path, or of the innermost enclosing path in the
// file. It returns zero if there is none.
func (f *File) line(path string) int {
	for path != "" {
		if line, found := f.lines[path]; found {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// ParseFile decodes an operators' file strictly: it rejects unknown and repeated
// keys, null values, values of the wrong type, and text after the object. The
// error is a *ValidationError with the path and line of each error.
func ParseFile(text []byte) (*File, error) {
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lines: make(map[string]int)}
	p.decoder.UseNumber()
	p.value("", reflect.TypeFor[File]())
	p.end()
	if len(p.fields) > 0 {
		return nil, &ValidationError{Fields: p.fields}
	}
	file := &File{lines: p.lines}
	if err := json.Unmarshal(text, file); err != nil {
		return nil, &ValidationError{Fields: []FieldError{{Message: err.Error()}}}
	}
	if !file.HasPlans() && !file.HasLimits() {
		return nil, &ValidationError{Fields: []FieldError{{Path: "plans", Line: 1, Message: "the file holds neither plans nor limits"}}}
	}
	return file, nil
}

// parser checks a file against the type that it is decoded into, and records the
// line of each path.
type parser struct {
	text    []byte
	decoder *json.Decoder
	lines   map[string]int
	fields  []FieldError
	// broken is set after a JSON syntax error; nothing is read after it.
	broken bool
}

func (p *parser) lineHere() int {
	return 1 + bytes.Count(p.text[:p.decoder.InputOffset()], []byte("\n"))
}

func (p *parser) add(path, format string, arguments ...any) {
	p.fields = append(p.fields, FieldError{Path: path, Line: p.lineHere(), Message: fmt.Sprintf(format, arguments...)})
}

// token returns the next token. It returns nil for a JSON null, which it reports
// as an error, and after a syntax error.
func (p *parser) token(path string) json.Token {
	if p.broken {
		return nil
	}
	token, err := p.decoder.Token()
	if err != nil {
		p.broken = true
		p.add(path, "is not valid JSON: %v", err)
		return nil
	}
	if token == nil {
		p.add(path, "must not be null")
	}
	return token
}

// end reports text after the top-level value.
func (p *parser) end() {
	if p.broken {
		return
	}
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		p.add("", "there is text after the object")
	}
}

// value checks the next value against the type that it is decoded into.
func (p *parser) value(path string, want reflect.Type) {
	token := p.token(path)
	if token == nil {
		return
	}
	p.lines[path] = p.lineHere()
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	switch token {
	case json.Delim('{'):
		p.object(path, want)
	case json.Delim('['):
		p.array(path, want)
	default:
		p.scalar(path, token, want)
	}
}

func (p *parser) object(path string, want reflect.Type) {
	if want.Kind() != reflect.Struct {
		p.add(path, "is an object, want %s", describe(want))
	}
	seen := make(map[string]bool)
	for p.more() {
		key, _ := p.token(path).(string)
		if p.broken {
			return
		}
		member := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			p.add(member, "stands twice")
		}
		seen[key] = true
		p.member(member, key, want)
	}
	p.token(path)
}

// member checks the value of an object's key. It reports an unknown key and skips
// its value.
func (p *parser) member(path, key string, want reflect.Type) {
	if want.Kind() == reflect.Struct {
		for i := range want.NumField() {
			field := want.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == key && name != "" {
				p.value(path, field.Type)
				return
			}
		}
		p.add(path, "unknown key")
	}
	p.skip()
}

func (p *parser) array(path string, want reflect.Type) {
	element := want
	if want.Kind() == reflect.Slice {
		element = want.Elem()
	} else {
		p.add(path, "is an array, want %s", describe(want))
	}
	for i := 0; p.more(); i++ {
		if want.Kind() != reflect.Slice {
			p.skip()
			continue
		}
		p.value(fmt.Sprintf("%s[%d]", path, i), element)
	}
	p.token(path)
}

func (p *parser) more() bool {
	return !p.broken && p.decoder.More()
}

func (p *parser) skip() {
	var ignored json.RawMessage
	if p.broken {
		return
	}
	if err := p.decoder.Decode(&ignored); err != nil {
		p.broken = true
		p.add("", "is not valid JSON: %v", err)
	}
}

func (p *parser) scalar(path string, token json.Token, want reflect.Type) {
	zero := reflect.New(want).Interface()
	encoded, err := json.Marshal(token)
	if err == nil && json.Unmarshal(encoded, zero) == nil {
		return
	}
	p.add(path, "is %s, want %s", encoded, describe(want))
}

// describe returns the name of the JSON type that a Go type is decoded from.
func describe(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Uint64:
		return "an integer that is not negative"
	default:
		return "an integer"
	}
}
