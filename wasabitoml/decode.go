// Package wasabitoml decodes TOML strictly and reports each problem with its
// file, line and key. It decides what is well formed; what values mean is up
// to its users.
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

// Duration is a time with its unit, such as "250ms". Document.CheckTime
// refuses one that is malformed, so that the error can name key and line.
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

// Problem is one value that is not allowed.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String returns file:line: key: message, without what is unknown.
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

// Document is a decoded text with the lines of its keys.
type Document struct {
	file     string
	text     []byte
	lines    map[string]int // found when the first problem needs them
	problems []Problem
}

// Decode reads text into v, which is a pointer to a struct. Unknown keys,
// wrong types and malformed text are refused; the error is of the class
// wasabistand.ErrInvalid and lists all of them.
func Decode(file string, text []byte, v any) (*Document, error) {
	d := &Document{file: file, text: text}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(v)
	var strict *toml.StrictMissingError
	var single *toml.DecodeError
	switch {
	case err == nil:
		return d, nil
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			line, _ := e.Position()
			d.problems = append(d.problems, Problem{File: file, Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key"})
		}
	case errors.As(err, &single):
		line, _ := single.Position()
		d.problems = append(d.problems, Problem{File: file, Line: line, Key: strings.Join(single.Key(), "."), Message: strings.TrimPrefix(single.Error(), "toml: ")})
	default:
		d.problems = append(d.problems, Problem{File: file, Message: strings.TrimPrefix(err.Error(), "toml: ")})
	}
	return d, d.Err()
}

// Refuse records that the value of a key, such as "Services[0].Name", is not
// allowed.
func (d *Document) Refuse(key, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

// CheckTime refuses a time that is malformed or outside of lowest to highest.
func (d *Document) CheckTime(key string, v Duration, lowest, highest time.Duration) {
	switch {
	case v.malformed != "":
		d.Refuse(key, "%q is not a time with a unit, such as \"250ms\" or \"5s\"", v.malformed)
	case v.Duration < lowest || v.Duration > highest:
		d.Refuse(key, "%v, allowed are times from %v to %v", v.Duration, lowest, highest)
	}
}

// Err returns all recorded problems as one error, nil for none.
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

// line returns the line of a key, or of the nearest table that holds it.
func (d *Document) line(key string) int {
	for key != "" {
		if d.lines == nil {
			d.lines = locate(d.text)
		}
		if n, ok := d.lines[key]; ok {
			return n
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// locate maps keys to lines. Malformed text gives the lines before the fault.
func locate(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	at := &lineCounter{text: text, line: 1}
	prefix := ""
	for parser.NextExpression() {
		e := parser.Expression()
		var path string
		var line int
		switch e.Kind {
		case unstable.Table:
			prefix, line = join("", e.Key(), counts, at)
			lines[prefix] = line
		case unstable.ArrayTable:
			path, line = join("", e.Key(), counts, at)
			prefix = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			lines[prefix] = line
		case unstable.KeyValue:
			path, line = join(prefix, e.Key(), nil, at)
			lines[path] = line
		}
	}
	return lines
}

// join appends the parts of a key to a prefix; parts that name an array of
// tables stand for its latest element.
func join(prefix string, keys unstable.Iterator, counts map[string]int, at *lineCounter) (string, int) {
	line := 0
	for keys.Next() {
		if n := counts[prefix]; n > 0 {
			prefix = fmt.Sprintf("%s[%d]", prefix, n-1)
		}
		node := keys.Node()
		if line == 0 {
			line = at.lineOf(int(node.Raw.Offset))
		}
		if prefix != "" {
			prefix += "."
		}
		prefix += string(node.Data)
	}
	return prefix, line
}

// lineCounter finds the lines of rising offsets in one pass over the text.
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
