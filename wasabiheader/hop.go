package wasabiheader

import (
	"net/http"
	"strings"

	"github.com/wasabistand/wasabistand"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1), Trailer, since
// trailers are announced anew on each connection, and Expect, since the node itself
// requests the body.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Forwardable returns the headers to forward to the next process: all except the
// hop-by-hop headers and the Wasabi headers.
func Forwardable(h http.Header) []wasabistand.HeaderField {
	var connectionOptions map[string]bool
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			if connectionOptions == nil {
				connectionOptions = map[string]bool{}
			}
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	list := make([]wasabistand.HeaderField, 0, len(h))
	for name, values := range h {
		if connectionOptions[name] || !IsForwardable(name) {
			continue
		}
		for _, v := range values {
			list = append(list, wasabistand.HeaderField{Name: name, Value: v})
		}
	}
	return list
}

// IsForwardable reports whether a header with this canonical name may be forwarded.
func IsForwardable(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, prefix)
}
