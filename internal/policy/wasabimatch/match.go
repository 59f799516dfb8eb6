// Package wasabimatch finds the route of a request by host and path, and the
// service of a split route. It does not decide to which instance of the
// service the request goes.
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

// New returns the table of checked hosts.
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

// Routes returns how many routes there are.
func (t *Table) Routes() int { return t.routes }

// Find returns the route with the longest prefix that begins the path, as it
// stands in the request, among those of the host. A port behind the host is
// ignored.
func (t *Table) Find(host, path string) (*wasabistand.Route, bool) {
	if t == nil {
		return nil, false
	}
	byPrefix := t.hosts[host]
	if byPrefix == nil {
		if byPrefix = t.hosts[canonical(host)]; byPrefix == nil {
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

func canonical(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// goldenRatio is the fraction by which a sequence advances that spreads most
// evenly over [0, 1) for any number of steps.
const goldenRatio = 0.6180339887498949

// Spread draws numbers from [0, 1) so that any run of them is close to evenly
// spread: shares of a split hold at few requests too. It is not safe for
// concurrent use.
type Spread struct{ at float64 }

// NewSpread returns a Spread that begins at a random place, so that many nodes
// do not follow the same order.
func NewSpread(start float64) *Spread { return &Spread{at: start} }

// Next returns the next number.
func (s *Spread) Next() float64 {
	if s.at += goldenRatio; s.at >= 1 {
		s.at--
	}
	return s.at
}

// Choose returns the service of a request of the route. at is a number from
// [0, 1).
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
