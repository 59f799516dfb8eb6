// Package wasabiheader parses the headers that callers send, removes hop-by-hop
// headers, and writes refusals as HTTP responses. It interprets headers; it does not
// decide how the call is handled.
package wasabiheader

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Names of the headers.
const (
	Service        = "Wasabi-Service"
	Caller         = "Wasabi-Caller"
	Timeout        = "Wasabi-Timeout"
	Request        = "Wasabi-Request"
	Call           = "Wasabi-Call"
	Importance     = "Wasabi-Importance"
	Shed           = "Wasabi-Shed"
	Outcome        = "Wasabi-Outcome"
	Replayed       = "Wasabi-Replayed"
	RetryAfterMs   = "Wasabi-Retry-After-Ms"
	RetryAfter     = "Retry-After"
	IdempotencyKey = "Idempotency-Key"

	prefix = "Wasabi-"
)

// Bounds on header values.
const (
	MaxNameBytes    = 128
	MaxRequestBytes = 64
	MaxKeyBytes     = 128
	// MaxTimeout is the longest timeout that a configuration can grant.
	MaxTimeout = 24 * time.Hour
)

// Fields holds the validated headers of a request.
type Fields struct {
	Service string
	Caller  string
	// Timeout is the caller's timeout, 0 when the header is absent.
	Timeout time.Duration
	Request string
	Key     string
	// Call is the token of the enclosing call.
	Call string
}

// Parse reads and validates a request's headers. The refusal's detail names the
// field, its value and the allowed values.
func Parse(r *http.Request) (Fields, *wasabistand.Refusal) {
	var f Fields
	for _, h := range []struct {
		name string
		max  int
		to   *string
	}{
		{Service, MaxNameBytes, &f.Service},
		{Caller, MaxNameBytes, &f.Caller},
		{Request, MaxRequestBytes, &f.Request},
		{IdempotencyKey, MaxKeyBytes, &f.Key},
		{Call, MaxRequestBytes, &f.Call},
	} {
		v, refusal := singleValue(r.Header, h.name, h.max)
		if refusal != nil {
			return Fields{}, refusal
		}
		*h.to = v
	}
	timeout, refusal := singleValue(r.Header, Timeout, 20)
	if refusal != nil {
		return Fields{}, refusal
	}
	if timeout != "" {
		ms, err := strconv.ParseInt(timeout, 10, 64)
		if err != nil || ms < 1 {
			return Fields{}, badRequest("%s: %q, allowed are whole milliseconds from 1", Timeout, timeout)
		}
		f.Timeout = time.Duration(min(ms, MaxTimeout.Milliseconds())) * time.Millisecond
	}
	if f.Service == "" {
		f.Service = firstLabel(r.Host)
	}
	if f.Service == "" || len(f.Service) > MaxNameBytes {
		return Fields{}, badRequest("%s: absent, and Host %.64q names no service", Service, r.Host)
	}
	if r.Method == http.MethodConnect || requestsUpgrade(r.Header) {
		return Fields{}, badRequest("Upgrade: %.64q, protocols other than HTTP are not forwarded", r.Header.Get("Upgrade"))
	}
	return f, nil
}

// singleValue returns the value of a header that may occur at most once, empty when it
// is absent.
func singleValue(h http.Header, name string, limit int) (string, *wasabistand.Refusal) {
	list := h[name]
	if len(list) == 0 {
		return "", nil
	}
	if len(list) > 1 {
		return "", badRequest("%s: given %d times, allowed is once", name, len(list))
	}
	v := strings.TrimSpace(list[0])
	if len(v) == 0 || len(v) > limit {
		return "", badRequest("%s: %d bytes, allowed are 1 to %d", name, len(v), limit)
	}
	for i := range len(v) {
		if v[i] < ' ' || v[i] > '~' {
			return "", badRequest("%s: byte %#x at %d, allowed are printable ASCII characters", name, v[i], i)
		}
	}
	return v, nil
}

// firstLabel returns the first label of a host name, empty for an IP address.
func firstLabel(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if net.ParseIP(strings.Trim(host, "[]")) != nil {
		return ""
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// requestsUpgrade reports whether a request upgrades the connection to a protocol other
// than h2c.
func requestsUpgrade(h http.Header) bool {
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				// A client that offers h2c continues with HTTP/1.1 when
				// the offer is ignored.
				return !strings.EqualFold(h.Get("Upgrade"), "h2c")
			}
		}
	}
	return false
}
