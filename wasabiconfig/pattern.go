package wasabiconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/wasabistand/wasabistand"
)

// pattern is a method and a path split into segments.
type pattern struct {
	method   string
	segments []string // "" matches one segment of any text, "/" an empty last one
	rest     bool     // whether any further segments match
	literals int
	valid    bool
}

func parsePattern(method, path string) (pattern, error) {
	p := pattern{method: method}
	if !strings.HasPrefix(path, "/") || len(path) > 1024 {
		return p, fmt.Errorf("%q, allowed are paths that begin with \"/\" of at most 1024 bytes", path)
	}
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		switch {
		case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "...}"):
			if i != len(parts)-1 {
				return p, fmt.Errorf("%q: %q may only be the last segment", path, part)
			}
			p.rest = true
		case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}") && len(part) > 2:
			p.segments = append(p.segments, "")
		case strings.ContainsAny(part, "{}?#* "):
			return p, fmt.Errorf("%q: segment %q, allowed are plain text, \"{name}\" and a last \"{name...}\"", path, part)
		case part == "" && i != len(parts)-1:
			return p, errors.New("empty segment in the middle of the path")
		case part == "":
			p.segments = append(p.segments, "/")
			p.literals++
		default:
			p.segments = append(p.segments, part)
			p.literals++
		}
	}
	p.valid = true
	return p, nil
}

// conflictsWith reports whether some request matches both patterns while
// neither pattern is more specific than the other.
func (p pattern) conflictsWith(q pattern) bool {
	if !p.valid || !q.valid {
		return false
	}
	// Whether p is narrower or wider than q in some respect.
	narrower, wider := false, false
	if p.method != q.method {
		switch {
		case p.method == "":
			wider = true
		case q.method == "":
			narrower = true
		default:
			return false
		}
	}
	n := min(len(p.segments), len(q.segments))
	for i := range n {
		a, b := p.segments[i], q.segments[i]
		switch {
		case a == b:
		case a == "":
			wider = true
		case b == "":
			narrower = true
		default:
			return false
		}
	}
	switch {
	case len(p.segments) > n:
		// q is shorter and must match the further segments by its rest.
		if !q.rest {
			return false
		}
		narrower = true
	case len(q.segments) > n:
		if !p.rest {
			return false
		}
		wider = true
	case p.rest && !q.rest:
		wider = true
	case q.rest && !p.rest:
		narrower = true
	}
	if p.rest && len(p.segments) > n {
		narrower = true
	}
	return narrower == wider
}

// match reports whether a request matches. It does not allocate.
func (p pattern) match(method, path string) bool {
	if p.method != "" && p.method != method {
		return false
	}
	path = path[1:]
	done := false
	for _, want := range p.segments {
		if done {
			return false
		}
		var part string
		if i := strings.IndexByte(path, '/'); i >= 0 {
			part, path = path[:i], path[i+1:]
		} else {
			part, path, done = path, "", true
		}
		switch {
		case want == "/":
			if part != "" {
				return false
			}
		case want == "":
			if part == "" {
				return false
			}
		case want != part:
			return false
		}
	}
	return done || p.rest
}

// Index finds the policy of a call. It is immutable and safe for concurrent
// use.
type Index struct {
	services map[string][]entry
}

type entry struct {
	pattern pattern
	policy  wasabistand.CallPolicy
}

// NewIndex returns an index of a valid configuration.
func NewIndex(c *wasabistand.Configuration) *Index {
	x := &Index{services: make(map[string][]entry, len(c.Services))}
	for name, s := range c.Services {
		list := make([]entry, 0, len(s.Calls))
		for _, k := range s.Calls {
			if p, err := parsePattern(k.Method, k.Path); err == nil {
				list = append(list, entry{p, k})
			}
		}
		// The most specific patterns are sorted first, so that the first match
		// is the most specific one: those with more literals, then with more
		// segments, then without a rest, then with a method.
		slices.SortStableFunc(list, func(a, b entry) int {
			if d := b.pattern.literals - a.pattern.literals; d != 0 {
				return d
			}
			if d := len(b.pattern.segments) - len(a.pattern.segments); d != 0 {
				return d
			}
			return rank(a.pattern) - rank(b.pattern)
		})
		x.services[name] = list
	}
	return x
}

// rank orders patterns of equal numbers of literals and segments. A more
// specific pattern has a lower rank.
func rank(p pattern) int {
	n := 0
	if p.rest {
		n += 2
	}
	if p.method == "" {
		n++
	}
	return n
}

// Match returns the policy that applies to a request and whether there is one.
// The path must not contain a query.
func (x *Index) Match(service, method, path string) (wasabistand.CallPolicy, bool) {
	if !strings.HasPrefix(path, "/") {
		return wasabistand.CallPolicy{}, false
	}
	list := x.services[service]
	for i := range list {
		if list[i].pattern.match(method, path) {
			return list[i].policy, true
		}
	}
	return wasabistand.CallPolicy{}, false
}

// Has reports whether a service is declared.
func (x *Index) Has(service string) bool {
	_, ok := x.services[service]
	return ok
}
