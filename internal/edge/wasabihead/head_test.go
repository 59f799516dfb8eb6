package wasabihead_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/edge/wasabihead"
)

func ExampleCheckResponse() {
	fmt.Println(wasabihead.CheckResponse([]byte("HTTP/1.1 204 No Content\r\n\r\n")))
	_, err := wasabihead.CheckResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n"))
	fmt.Println(err)
	// Output:
	// 204 <nil>
	// malformed head: field "Content-Length ": allowed is a name without blanks and control characters, and a colon
}

// fieldCases are field lines, and whether a head with them is allowed.
var fieldCases = []struct {
	lines   string
	allowed bool
}{
	{"", true},
	{"X: y\r\n", true},
	{"X:\r\n", true},
	{"X: \ty \r\n", true},
	{"X: y\n", true},
	{"X: a\tb c\xff\r\n", true},
	{"x!#$%&'*+-.^_`|~0: y\r\n", true},
	{"X Y: z\r\n", false},
	{"X : y\r\n", false},
	{"X\t: y\r\n", false},
	{" X: y\r\n", false},
	{": y\r\n", false},
	{"X\x00: y\r\n", false},
	{"X\x7f: y\r\n", false},
	{"X\xc3\xa9: y\r\n", false},
	{"X(: y\r\n", false},
	{"X\r\n", false},
	{"X: a\x00b\r\n", false},
	{"X: a\rb\r\n", false},
	{"X: a\x0bb\r\n", false},
	{"X: a\x7fb\r\n", false},
	{"X: a\r\n b\r\n", false},
	{"Content-Length: 2\r\n", true},
	{"Content-Length: 2\r\nContent-Length: 2\r\n", true},
	{"Content-Length: 2\r\ncontent-length: 3\r\n", false},
	{"Content-Length: 2, 2\r\n", false},
	{"Content-Length: +2\r\n", false},
	{"Content-Length: -2\r\n", false},
	{"Content-Length: 0x2\r\n", false},
	{"Content-Length:\r\n", false},
	{"Content-Length : 2\r\n", false},
	{"Transfer-Encoding: chunked\r\n", true},
	{"Transfer-Encoding: Chunked\r\n", true},
	{"Transfer-Encoding : chunked\r\n", false},
	{"Transfer-Encoding: chunked, identity\r\n", false},
	{"Transfer-Encoding: gzip\r\n", false},
	{"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false},
	{"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", false},
}

// Guards against a message whose body one recipient takes for another message, because a
// field is not seen or contradicts another.
func TestFields(t *testing.T) {
	for _, test := range fieldCases {
		err := wasabihead.CheckRequest([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + test.lines + "\r\n"))
		assert.Equal(t, err == nil, test.allowed, "request, %q: %v", test.lines, err)
		assert.Assert(t, err == nil || wasabihead.ErrMalformed.Has(err))
		_, err = wasabihead.CheckResponse([]byte("HTTP/1.1 200 OK\r\n" + test.lines + "\r\n"))
		assert.Equal(t, err == nil, test.allowed, "response, %q: %v", test.lines, err)
		assert.Assert(t, err == nil || wasabihead.ErrMalformed.Has(err))
	}
}

// Guards against a status that the protocol doesn't allow, which one recipient skips and
// another passes on.
func TestStatusLine(t *testing.T) {
	for code := range 1000 {
		status, err := wasabihead.CheckResponse(fmt.Appendf(nil, "HTTP/1.1 %03d X\r\n\r\n", code))
		assert.Equal(t, err == nil, code >= 100 && code <= 599, "%03d: %v", code, err)
		assert.Assert(t, err != nil || status == code)
	}
	for line, allowed := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 200 ": true, "HTTP/1.1 200": true, "HTTP/1.0 200 OK": true, "HTTP/1.1 200 a  b\tc\xff": true,
		"HTTP/1.1  200 OK": false, "HTTP/1.1 +20 OK": false, "HTTP/1.1 20 OK": false, "HTTP/1.1 2000 OK": false, "HTTP/1.1": false, "": false,
		"HTTP/2.0 200 OK": false, "HTTP/11 200 OK": false, "http/1.1 200 OK": false, "HTTP/1.1 200 a\x00": false, "HTTP/1.1\t200 OK": false, " HTTP/1.1 200 OK": false,
	} {
		_, err := wasabihead.CheckResponse([]byte(line + "\r\n\r\n"))
		assert.Equal(t, err == nil, allowed, "%q: %v", line, err)
	}
	_, err := wasabihead.CheckResponse([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	assert.Assert(t, wasabihead.ErrMalformed.Has(err))
}

// Guards against a request line or a host that recipients read differently.
func TestRequestLine(t *testing.T) {
	for line, allowed := range map[string]bool{
		"GET / HTTP/1.1": true, "M-SEARCH * HTTP/1.0": true, "GET /%20?\xff HTTP/1.1": true,
		"GET  / HTTP/1.1": false, "GET / HTTP/1.1 ": false, "GET /a b HTTP/1.1": false, " GET / HTTP/1.1": false, "G(T / HTTP/1.1": false,
		"GET /\x00 HTTP/1.1": false, "GET /\x7f HTTP/1.1": false, "GET\t/ HTTP/1.1": false, "GET / HTTP/1.x": false, "GET /": false, "": false,
		"GET  HTTP/1.1": false, "GET / HTTP/2.0": false,
	} {
		err := wasabihead.CheckRequest([]byte(line + "\r\n\r\n"))
		assert.Equal(t, err == nil, allowed, "%q: %v", line, err)
	}
	assert.Assert(t, wasabihead.ErrMalformed.Has(wasabihead.CheckRequest([]byte("GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n"))))
	assert.Assert(t, wasabihead.ErrMalformed.Has(wasabihead.CheckRequest([]byte("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"))))
}

// The grammar of RFC 9112, as far as a node takes part in it. Two choices that the
// standard leaves to recipients: LF may end a line, and the space before an empty reason
// may be missing.
var (
	token     = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	text      = `[\t \x21-\x7e\x80-\xff]*`
	end       = `\r?\n`
	fieldLine = "(?:" + token + ":" + text + end + ")*"
	requests  = regexp.MustCompile(`(?s)^` + token + ` [\x21-\x7e\x80-\xff]+ HTTP/1\.[0-9]` + end + fieldLine + end + `$`)
	responses = regexp.MustCompile(`(?s)^HTTP/1\.[0-9] [1-5][0-9][0-9](?: ` + text + `)?` + end + fieldLine + end + `$`)
)

// isAllowed is the oracle of the fuzz targets. Regular expressions match UTF-8, so bytes
// beyond ASCII are compared as one letter each.
func isAllowed(grammar *regexp.Regexp, head []byte, isRequest bool) bool {
	runes := make([]rune, len(head))
	for i, b := range head {
		runes[i] = rune(b)
	}
	if !grammar.MatchString(string(runes)) {
		return false
	}
	lines := strings.Split(string(head), "\n")
	fields := map[string][]string{}
	for _, line := range lines[1:] {
		if name, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), ":"); ok {
			name = strings.ToLower(name)
			fields[name] = append(fields[name], strings.Trim(value, " \t"))
		}
	}
	lengths, encodings := fields["content-length"], fields["transfer-encoding"]
	for _, l := range lengths {
		if !regexp.MustCompile(`^[0-9]+$`).MatchString(l) || l != lengths[0] {
			return false
		}
	}
	for _, e := range encodings {
		if !strings.EqualFold(e, "chunked") || isOldVersion(lines[0], isRequest) {
			return false
		}
	}
	if len(encodings) > 1 || len(encodings) > 0 && len(lengths) > 0 {
		return false
	}
	return !isRequest || len(fields["host"]) <= 1
}

// isOldVersion reports whether a start line names HTTP/1.0.
func isOldVersion(line string, isRequest bool) bool {
	if isRequest {
		return strings.HasSuffix(strings.TrimSuffix(line, "\r"), " HTTP/1.0")
	}
	return strings.HasPrefix(line, "HTTP/1.0 ")
}

// headOf returns the bytes up to the first empty line.
func headOf(b []byte) ([]byte, bool) {
	head, err := wasabihead.NewReader(bytes.NewReader(b), 16).PeekHead(len(b))
	return bytes.Clone(head), err == nil
}

// FuzzCheckRequest compares the check with the grammar, and what it allows with the
// parser: no field is lost or framed in another way.
func FuzzCheckRequest(f *testing.F) {
	for _, test := range fieldCases {
		f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + test.lines + "\r\n"))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		head, ok := headOf(b)
		if !ok {
			return
		}
		err := wasabihead.CheckRequest(head)
		assert.Equal(t, err == nil, isAllowed(requests, head, true), "%q: %v", head, err)
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)+16))
		if err != nil {
			return
		}
		defer r.Body.Close()
		checkParsed(t, head, r.Header, r.ContentLength, r.TransferEncoding, 0)
	})
}

// FuzzCheckResponse is the same for responses.
func FuzzCheckResponse(f *testing.F) {
	for _, test := range fieldCases {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + test.lines + "\r\n"))
	}
	f.Add([]byte("HTTP/1.1 000 X\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		head, ok := headOf(b)
		if !ok {
			return
		}
		status, err := wasabihead.CheckResponse(head)
		assert.Equal(t, err == nil, isAllowed(responses, head, false), "%q: %v", head, err)
		if err != nil {
			return
		}
		r, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)+16), nil)
		if err != nil {
			return
		}
		defer r.Body.Close()
		assert.Equal(t, r.StatusCode, status)
		if status >= 200 && status != 204 && status != 304 {
			checkParsed(t, head, r.Header, r.ContentLength, r.TransferEncoding, -1)
		}
	})
}

// checkParsed compares a parsed head with its lines.
func checkParsed(t *testing.T, head []byte, h http.Header, length int64, encoding []string, without int64) {
	t.Helper()
	isToken := regexp.MustCompile("^" + token + "$")
	for name := range h {
		assert.Assert(t, isToken.MatchString(name), "%q", name)
	}
	want, chunked := without, false
	for _, line := range strings.Split(string(head), "\n")[1:] {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseInt(value, 10, 64)
			assert.NilError(t, err)
			want = n
		case "transfer-encoding":
			want, chunked = -1, true
		}
	}
	assert.Equal(t, length, want, "%q", head)
	assert.Equal(t, len(encoding) > 0, chunked, "%q", head)
}

// Guards against a head that is not found because its bytes arrive one by one, or that is
// longer than the buffer, and against bytes behind it that are lost.
func TestPeekHead(t *testing.T) {
	head := "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 100) + "\r\n\r\n"
	for name, source := range map[string]io.Reader{
		"at once":      strings.NewReader(head + "body" + head),
		"byte by byte": iotest.OneByteReader(strings.NewReader(head + "body" + head)),
	} {
		r := wasabihead.NewReader(source, 16)
		for range 2 {
			b, err := r.PeekHead(len(head))
			assert.NilError(t, err, name)
			assert.Equal(t, string(b), head, name)
			_, err = r.Discard(len(head))
			assert.NilError(t, err)
			_, err = io.CopyN(io.Discard, r, 4)
			assert.Assert(t, err == nil || errors.Is(err, io.EOF), name)
		}
		_, err := r.PeekHead(len(head))
		assert.Equal(t, err, io.EOF, name)
	}
	_, err := wasabihead.NewReader(strings.NewReader(head), 16).PeekHead(len(head) - 1)
	assert.Equal(t, err, wasabihead.ErrTooLarge)
	_, err = wasabihead.NewReader(strings.NewReader(head[:50]), 16).PeekHead(len(head))
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	b, err := wasabihead.NewReader(strings.NewReader("\r\nGET"), 16).PeekHead(100)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "\r\n")
}
