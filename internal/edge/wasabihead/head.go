// Package wasabihead checks the heads of HTTP/1.1 messages before they are parsed, for
// requests and responses alike, and the end of a message that has no length. The parser
// of net/http takes more than the grammar of RFC 9112 allows: names with a blank, any
// status of three digits, several framings in one message. What one recipient takes for a
// body another takes for a request, so such a message is refused as a whole. The package
// parses no message and does not decide what a refusal means.
package wasabihead

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("head")

// ErrMalformed is the class of errors of heads that the grammar doesn't allow.
var ErrMalformed = errs.Class("malformed head")

// The statuses that the protocol allows.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckRequest checks the head of a request, from its first line to the empty line. The
// error is of class ErrMalformed.
func CheckRequest(head []byte) error {
	line, rest := nextLine(head)
	method, line, ok := bytes.Cut(line, []byte{' '})
	target, version, ok2 := bytes.Cut(line, []byte{' '})
	switch {
	case !ok || !ok2 || !isToken(method):
		return ErrMalformed.New("request line: allowed is a method, a target and a version, with one space between them")
	case !isTarget(target):
		return ErrMalformed.New("request target %.64q: allowed are visible characters", target)
	}
	f, err := checkFields(version, rest)
	if err == nil && f.hosts > 1 {
		err = ErrMalformed.New("%d fields Host: allowed is one", f.hosts)
	}
	return err
}

// CheckResponse checks the head of a response, from its first line to the empty line, and
// returns the status. The error is of class ErrMalformed.
func CheckResponse(head []byte) (status int, err error) {
	line, rest := nextLine(head)
	version, line, _ := bytes.Cut(line, []byte{' '})
	// Many servers leave out the space before an empty reason.
	code, reason, _ := bytes.Cut(line, []byte{' '})
	if len(code) != 3 || !isDigits(code) {
		return 0, ErrMalformed.New("status %.16q: allowed are three digits", code)
	}
	if status, err = strconv.Atoi(string(code)); err != nil || status < minStatus || status > maxStatus {
		return 0, ErrMalformed.New("status %.16q: allowed are %d to %d", code, minStatus, maxStatus)
	}
	if !isText(reason) {
		return 0, ErrMalformed.New("reason %.64q: allowed are no control characters", reason)
	}
	_, err = checkFields(version, rest)
	return status, err
}

// fields is what the fields of a head say of the body.
type fields struct {
	hosts     int
	hasLength bool
	length    []byte
	encodings int
}

// checkFields checks the version and the field lines of a head.
func checkFields(version, lines []byte) (f fields, err error) {
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigits(version[7:]) {
		return f, ErrMalformed.New("version %.16q: allowed are HTTP/1.0 and HTTP/1.1", version)
	}
	for {
		var line []byte
		line, lines = nextLine(lines)
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || !isToken(name) {
			// This also refuses a line that continues the one before.
			return f, ErrMalformed.New("field %.64q: allowed is a name without blanks and control characters, and a colon", name)
		}
		value = bytes.Trim(value, " \t")
		if !isText(value) {
			return f, ErrMalformed.New("value of field %.64q: allowed are no control characters", name)
		}
		if err := f.add(name, value); err != nil {
			return f, err
		}
	}
	if len(lines) > 0 {
		return f, ErrMalformed.New("%d bytes behind the empty line", len(lines))
	}
	switch {
	case f.encodings > 1:
		return f, ErrMalformed.New("%d fields Transfer-Encoding: allowed is one", f.encodings)
	case f.encodings > 0 && f.hasLength:
		return f, ErrMalformed.New("Content-Length beside Transfer-Encoding: allowed is one of them")
	case f.encodings > 0 && version[7] == '0':
		return f, ErrMalformed.New("Transfer-Encoding in HTTP/1.0: allowed is none")
	}
	return f, nil
}

// add records a field that frames the message.
func (f *fields) add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Host")):
		f.hosts++
	case bytes.EqualFold(name, []byte("Content-Length")):
		if !isDigits(value) {
			return ErrMalformed.New("Content-Length %.64q: allowed are digits", value)
		}
		if f.hasLength && !bytes.Equal(value, f.length) {
			return ErrMalformed.New("Content-Length %.64q and %.64q: allowed is one", f.length, value)
		}
		f.hasLength, f.length = true, value
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if !bytes.EqualFold(value, []byte("chunked")) {
			return ErrMalformed.New("Transfer-Encoding %.64q: allowed is chunked", value)
		}
		f.encodings++
	}
	return nil
}

// nextLine returns the first line without its end, which is CRLF or, as recipients may
// allow, LF.
func nextLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// findEnd returns the length of the head at the start of b, -1 if b doesn't contain its
// end. The bytes before from were searched already.
func findEnd(b []byte, from int) int {
	// The end may be a part of the bytes that were searched.
	for i := max(from-2, 0); i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		line := b[:i]
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 || line[len(line)-1] == '\n' {
			return i + 1
		}
	}
	return -1
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes are the characters of a token besides letters and digits.
var tokenBytes = []byte("!#$%&'*+-.^_`|~")

// isTokenByte holds the characters of methods and field names.
var isTokenByte = func() (table [256]bool) {
	for c := range table {
		letter := c | 0x20
		table[c] = c >= '0' && c <= '9' || letter >= 'a' && letter <= 'z' && c < 0x80 || bytes.IndexByte(tokenBytes, byte(c)) >= 0
	}
	return table
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isTarget reports whether b has no blanks and control characters.
func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b has no control characters but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
