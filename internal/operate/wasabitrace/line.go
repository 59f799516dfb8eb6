// Package wasabitrace finds what happened to one request in the logs of many
// processes: its own lines, and what the processes that touched it came to
// believe shortly before. It reads lines and decides nothing about requests.
package wasabitrace

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	At       time.Time
	Event    string
	Instance string
	// Fields are the other fields by name.
	Fields map[string]string
	// Text is the line as it was written, from its time on.
	Text string
}

// start is how each line of a process begins.
const start = "Time="

// Parse reads one line of key=value pairs. It reports false for a line of
// another form. What stands before the time, such as the name of a file, is
// passed over.
func Parse(text string) (Line, bool) {
	i := strings.Index(text, start)
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

// cutValue cuts a plain or a quoted value off the front of a text.
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
