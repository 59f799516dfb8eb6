package wasabigateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
)

// attempt is a request on its way to one instance.
type attempt struct {
	requestID  string
	service    string
	route      string
	origin     string
	method     string
	target     string // path and query as the caller sent them
	headers    []wasabistand.HeaderField
	host       string
	deadline   time.Time
	objective  time.Time
	importance wasabistand.Importance
	repeatable bool
	number     int
	revision   uint64
	// length is that of the body, -1 when unknown.
	length int64
	// body is the whole body, or its beginning when rest is set.
	body []byte
	rest io.Reader
}

// outcome is how an attempt ended.
type outcome struct {
	answer  *answer
	refusal *wasabistand.Refusal
	// arrived says that the request may have reached an upstream.
	arrived bool
	// faulty says that the instance or the way to it is at fault, down that it
	// could not be reached at all.
	faulty bool
	down   bool
	load   *wasabistand.Load
	// took is the time in the upstream.
	took time.Duration
}

// answer is an upstream's answer. Its body is whole unless rest is set; then
// more follows until rest returns io.EOF, and close must be called.
type answer struct {
	status  int
	headers http.Header
	length  int64
	body    []byte
	rest    io.Reader
	close   func()
}

func (a *answer) end() {
	if a != nil && a.close != nil {
		a.close()
		a.close = nil
	}
}

func notRun(reason wasabistand.Reason, detail string) outcome {
	return outcome{refusal: wasabistand.NewRefusal(reason, detail)}
}

func unknown(reason wasabistand.Reason, detail string) outcome {
	return outcome{refusal: wasabistand.NewUnknown(reason, detail), arrived: true}
}

// hopByHop are fields that concern one connection only, or that the writer of
// a message sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Expect": true,
}

// named reports whether a Connection header names a field.
func named(connection []string, name string) bool {
	for _, v := range connection {
		for _, f := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(f), name) {
				return true
			}
		}
	}
	return false
}

// endToEnd returns the fields of a header that are passed on.
func endToEnd(h http.Header) []wasabistand.HeaderField {
	list := make([]wasabistand.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || named(h["Connection"], name) {
			continue
		}
		for _, v := range values {
			list = append(list, wasabistand.HeaderField{Name: name, Value: v})
		}
	}
	return list
}
