package wasabistand

import (
	"fmt"
	"time"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of routes. The zero value is the careful one.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Upload requests are unsafe and have large bodies.
	Upload
)

var routeKindNames = [...]string{"Unsafe", "Safe", "Upload"}

// String returns the name used in configurations.
func (k RouteKind) String() string {
	if int(k) < len(routeKindNames) {
		return routeKindNames[k]
	}
	return fmt.Sprintf("RouteKind(%d)", uint8(k))
}

// Repeatable reports whether a request may be sent again when its outcome is
// unknown.
func (k RouteKind) Repeatable() bool { return k == Safe }

// ParseRouteKind reads a name as String writes it.
func ParseRouteKind(s string) (RouteKind, error) {
	for k, name := range routeKindNames {
		if name == s {
			return RouteKind(k), nil
		}
	}
	return 0, fmt.Errorf("kind %q: allowed are Safe, Unsafe, Upload", s)
}

// Host is the routes of one host name.
type Host struct {
	Name   string
	Routes []Route
}

// Route says where requests of one host below one path prefix go.
type Route struct {
	Name string
	// PathPrefix begins and ends with a slash. The longest one that begins a
	// request's path decides.
	PathPrefix string
	Kind       RouteKind
	Importance Importance
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Split lists the services that the requests go to, at least one.
	Split []WeightedService
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string
	// Weight is the share of requests, relative to the other weights.
	Weight float64
}

// UpstreamContract is what operators declare of the upstreams of a service
// that routes lead to.
type UpstreamContract struct {
	Service string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is how many connections one upstream accepts, 0 for what
	// it announces.
	MaxConnections int
}

// ClientLimits bound what a client may send to a node, and for how long it may
// send nothing.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time from a request's first byte to the end of
	// its headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between requests on a connection.
	IdleTimeout time.Duration
}
