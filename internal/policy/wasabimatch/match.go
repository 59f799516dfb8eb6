// Package wasabimatch finds the route of a request by host and path, and selects the
// service of a route with a traffic split. It does not choose the instance of the
// service.
package wasabimatch

import (
	"net"
	"strings"

	"github.com/wasabistand/wasabistand"
)

// Table holds the routes of one configuration. It is immutable and safe for
// concurrent use.
type Table struct {
	hosts  map[string]map[string]*wasabistand.Route
	routes int
}

// New returns a table of hosts, which must be valid.
func New(list []wasabistand.Host) *Table {
	t := &Table{hosts: make(map[string]map[string]*wasabistand.Route, len(list))}
	for i := range list {
		h := &list[i]
		byPrefix := t.hosts[h.Name]
		if byPrefix == nil {
			byPrefix = make(map[string]*wasabistand.Route, len(h.Routes))
			t.hosts[h.Name] = byPrefix
		}
		for j := range h.Routes {
			byPrefix[h.Routes[j].PathPrefix] = &h.Routes[j]
			t.routes++
		}
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Find returns the host's route with the longest prefix of the path. The path is
// compared as it appears in the request, without its query. A port in host is
// ignored.
func (t *Table) Find(host, path string) (*wasabistand.Route, bool) {
	if t == nil {
		return nil, false
	}
	byPrefix := t.hosts[host]
	if byPrefix == nil {
		if byPrefix = t.hosts[canonicalHost(host)]; byPrefix == nil {
			return nil, false
		}
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// canonicalHost returns host in lower case, without a port and a trailing dot.
func canonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// goldenRatio is the fractional part of the golden ratio. A sequence that advances by
// it modulo 1 is the most evenly distributed over [0, 1) for any number of steps.
const goldenRatio = 0.6180339887498949

// QuasiRandom generates a low-discrepancy sequence in [0, 1): any run of numbers is
// almost evenly distributed, so that the shares of a split also hold at few requests.
// It is not safe for concurrent use.
type QuasiRandom struct{ at float64 }

// NewQuasiRandom returns a sequence that begins at start. A random start keeps many
// nodes from following the same order.
func NewQuasiRandom(start float64) *QuasiRandom { return &QuasiRandom{at: start} }

// Next returns the next number.
func (s *QuasiRandom) Next() float64 {
	if s.at += goldenRatio; s.at >= 1 {
		s.at--
	}
	return s.at
}

// Choose returns the service for a request on the route, selected by weight. at is a
// number in [0, 1).
func Choose(r *wasabistand.Route, at float64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := 0.0
	for _, p := range r.Split {
		sum += p.Weight
	}
	at *= sum
	last := ""
	for _, p := range r.Split {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if at < p.Weight {
			break
		}
		at -= p.Weight
	}
	return last
}
