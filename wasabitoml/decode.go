// Package wasabitoml decodes TOML strictly and reports each problem with its
// file, line and key. It checks the syntax and the keys; what the values mean is
// up to the importing packages.
package wasabitoml

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/wasabistand/wasabistand"
)

// Duration is a duration with its unit, such as "250ms". Decoding accepts a
// malformed one and Document.CheckDuration reports it, so that the error can
// contain key and line.
type Duration struct {
	time.Duration
	malformed string
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		d.malformed = string(text)
		return nil
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Problem describes one invalid key or value.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String returns "file:line: key: message" and omits the parts that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Document is a decoded TOML text. It collects the problems of the text with
// their lines.
type Document struct {
	file     string
	text     []byte
	lines    map[string]int // by key; computed when the first problem is added
	problems []Problem
}

// Decode decodes text into v, which must be a pointer to a struct. Unknown keys,
// wrong types and malformed text are errors. The returned error is of the class
// wasabistand.ErrInvalid and lists all of them.
func Decode(file string, text []byte, v any) (*Document, error) {
	d := &Document{file: file, text: text}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(v)
	var strictErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return d, nil
	case errors.As(err, &strictErr):
		for _, e := range strictErr.Errors {
			line, _ := e.Position()
			d.problems = append(d.problems, Problem{File: file, Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key"})
		}
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		d.problems = append(d.problems, Problem{File: file, Line: line, Key: strings.Join(decodeErr.Key(), "."), Message: strings.TrimPrefix(decodeErr.Error(), "toml: ")})
	default:
		d.problems = append(d.problems, Problem{File: file, Message: strings.TrimPrefix(err.Error(), "toml: ")})
	}
	return d, d.Err()
}

// AddProblem adds a problem with the value of a key, such as "Services[0].Name".
func (d *Document) AddProblem(key, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

// CheckDuration adds a problem if a duration is malformed or not in the range
// from lowest to highest.
func (d *Document) CheckDuration(key string, v Duration, lowest, highest time.Duration) {
	switch {
	case v.malformed != "":
		d.AddProblem(key, "%q is not a time with a unit, such as \"250ms\" or \"5s\"", v.malformed)
	case v.Duration < lowest || v.Duration > highest:
		d.AddProblem(key, "%v, allowed are times from %v to %v", v.Duration, lowest, highest)
	}
}

// Err returns all problems as one error, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	list := make([]string, len(d.problems))
	for i, p := range d.problems {
		list[i] = p.String()
	}
	return wasabistand.ErrInvalid.New("%s", strings.Join(list, "\n"))
}

// line returns the line of a key, or of the nearest table that contains it, or 0
// if neither is found.
func (d *Document) line(key string) int {
	for key != "" {
		if d.lines == nil {
			d.lines = findKeyLines(d.text)
		}
		if n, ok := d.lines[key]; ok {
			return n
		}
		parentEnd := strings.LastIndexAny(key, ".[")
		if parentEnd < 0 {
			return 0
		}
		key = key[:parentEnd]
	}
	return 0
}

// findKeyLines returns the line of each key. For malformed text it returns only
// the keys before the syntax error.
func findKeyLines(text []byte) map[string]int {
	lines := map[string]int{}
	tableCounts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	counter := &lineCounter{text: text, line: 1}
	prefix := ""
	for parser.NextExpression() {
		e := parser.Expression()
		var path string
		var line int
		switch e.Kind {
		case unstable.Table:
			prefix, line = resolveKey("", e.Key(), tableCounts, counter)
			lines[prefix] = line
		case unstable.ArrayTable:
			path, line = resolveKey("", e.Key(), tableCounts, counter)
			prefix = fmt.Sprintf("%s[%d]", path, tableCounts[path])
			tableCounts[path]++
			lines[prefix] = line
		case unstable.KeyValue:
			path, line = resolveKey(prefix, e.Key(), nil, counter)
			lines[path] = line
		}
	}
	return lines
}

// resolveKey appends the parts of a key to a prefix and returns the full key and
// its line. A part that names an array of tables refers to the latest element of
// the array.
func resolveKey(prefix string, keys unstable.Iterator, tableCounts map[string]int, counter *lineCounter) (string, int) {
	line := 0
	for keys.Next() {
		if n := tableCounts[prefix]; n > 0 {
			prefix = fmt.Sprintf("%s[%d]", prefix, n-1)
		}
		node := keys.Node()
		if line == 0 {
			line = counter.lineOf(int(node.Raw.Offset))
		}
		if prefix != "" {
			prefix += "."
		}
		prefix += string(node.Data)
	}
	return prefix, line
}

// lineCounter converts increasing offsets to line numbers in one pass over the
// text.
type lineCounter struct {
	text   []byte
	offset int
	line   int
}

func (c *lineCounter) lineOf(offset int) int {
	if offset > c.offset && offset <= len(c.text) {
		c.line += bytes.Count(c.text[c.offset:offset], []byte{'\n'})
		c.offset = offset
	}
	return c.line
}
