// Package wasabitrace traces one request through the logs of many processes: it
// finds the lines of the request, and the state changes that the processes
// involved logged shortly before. It only reads logs and has no influence on
// requests.
package wasabitrace

import (
	"strconv"
	"strings"
	"time"
)

// Line is a parsed log line.
type Line struct {
	At       time.Time
	Event    string
	Instance string
	// Fields are the other fields by name.
	Fields map[string]string
	// Text is the unparsed line, from its time on.
	Text string
}

// linePrefix begins each log line of a process.
const linePrefix = "Time="

// Parse parses one line of key=value pairs. It reports false for a line of
// another form. Text before the time, such as the name of a file, is ignored.
func Parse(text string) (Line, bool) {
	i := strings.Index(text, linePrefix)
	if i < 0 {
		return Line{}, false
	}
	l := Line{Text: strings.TrimRight(text[i:], "\r\n"), Fields: map[string]string{}}
	for rest := l.Text; rest != ""; {
		name, after, ok := strings.Cut(rest, "=")
		if !ok {
			return Line{}, false
		}
		value, tail, ok := cutValue(after)
		if !ok {
			return Line{}, false
		}
		l.Fields[name], rest = value, strings.TrimLeft(tail, " ")
	}
	var err error
	if l.At, err = time.Parse(time.RFC3339Nano, l.Fields["Time"]); err != nil {
		return Line{}, false
	}
	l.Event, l.Instance = l.Fields["Event"], l.Fields["Instance"]
	delete(l.Fields, "Time")
	return l, l.Event != ""
}

// cutValue splits a plain or quoted value from the beginning of a text.
func cutValue(s string) (value, rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, s[len(quoted):], err == nil
}
