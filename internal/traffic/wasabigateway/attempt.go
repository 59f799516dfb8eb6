package wasabigateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
)

// attempt is one attempt of a request at one instance.
type attempt struct {
	requestID  string
	service    string
	route      string
	origin     string
	method     string
	target     string // path and query as sent by the caller
	headers    []wasabistand.HeaderField
	host       string
	deadline   time.Time
	objective  time.Time
	importance wasabistand.Importance
	retryable  bool
	number     int
	revision   uint64
	// length is the length of the body, -1 when unknown.
	length int64
	// body is the complete body, or its first part when rest is set.
	body []byte
	rest io.ReadCloser
	// withdrawn is closed when the node that sent the attempt wants it refused unless it
	// runs, nil for an attempt of this node.
	withdrawn <-chan struct{}
}

// outcome is the result of an attempt.
type outcome struct {
	response *response
	refusal  *wasabistand.Refusal
	// arrived reports whether the request may have reached an upstream.
	arrived bool
	// faulty reports whether the instance or the path to it failed, unreachable
	// whether it could not be reached at all.
	faulty      bool
	unreachable bool
	load        *wasabistand.Load
	// serviceTime is the time that the upstream took.
	serviceTime time.Duration
}

// response is an upstream's response. The body is complete unless rest is set; then
// the remainder is read from rest until io.EOF, and release must be called.
type response struct {
	status  int
	headers http.Header
	length  int64
	body    []byte
	rest    io.Reader
	close   func()
}

func (r *response) release() {
	if r != nil && r.close != nil {
		r.close()
		r.close = nil
	}
}

func notRunOutcome(reason wasabistand.Reason, detail string) outcome {
	return outcome{refusal: wasabistand.NewRefusal(reason, detail)}
}

func unknownOutcome(reason wasabistand.Reason, detail string) outcome {
	return outcome{refusal: wasabistand.NewUnknown(reason, detail), arrived: true}
}

// hopByHop are the header fields that apply to one connection only, or that the
// writer of a message sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Expect": true,
}

// hasConnectionOption reports whether a Connection header lists a field.
func hasConnectionOption(connection []string, name string) bool {
	for _, v := range connection {
		for _, f := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(f), name) {
				return true
			}
		}
	}
	return false
}

// endToEndFields returns the header fields that are forwarded.
func endToEndFields(h http.Header) []wasabistand.HeaderField {
	list := make([]wasabistand.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || hasConnectionOption(h["Connection"], name) {
			continue
		}
		for _, v := range values {
			list = append(list, wasabistand.HeaderField{Name: name, Value: v})
		}
	}
	return list
}
