package wasabiheader

import (
	"net/http"
	"strings"

	"github.com/wasabistand/wasabistand"
)

// hop lists the headers that concern one connection (RFC 9110, section 7.6.1),
// Trailer, since trailers are announced anew on each connection, and Expect,
// since the node itself asks for the body.
var hop = map[string]bool{
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

// Forwardable returns the headers that go on to the next process: none that
// concern the connection, none of this system's own.
func Forwardable(h http.Header) []wasabistand.HeaderField {
	var named map[string]bool
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	list := make([]wasabistand.HeaderField, 0, len(h))
	for name, values := range h {
		if named[name] || !Allowed(name) {
			continue
		}
		for _, v := range values {
			list = append(list, wasabistand.HeaderField{Name: name, Value: v})
		}
	}
	return list
}

// Allowed reports whether a header with this canonical name is passed on.
func Allowed(name string) bool {
	return !hop[name] && !strings.HasPrefix(name, prefix)
}
