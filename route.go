package wasabistand

import (
	"fmt"
	"time"
)

// RouteKind determines whether the requests of a route may be retried.
type RouteKind uint8

// The kinds of routes. The zero value is the most restrictive.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Upload requests run at most once and have large bodies.
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

// Retryable reports whether a request may be retried when its outcome is
// unknown.
func (k RouteKind) Retryable() bool { return k == Safe }

// ParseRouteKind parses a name returned by String.
func ParseRouteKind(s string) (RouteKind, error) {
	for k, name := range routeKindNames {
		if name == s {
			return RouteKind(k), nil
		}
	}
	return 0, fmt.Errorf("kind %q: allowed are Safe, Unsafe, Upload", s)
}

// Host holds the routes of one host name.
type Host struct {
	Name   string
	Routes []Route
}

// Route maps requests for one host and path prefix to services.
type Route struct {
	Name string
	// PathPrefix begins and ends with a slash. The longest prefix that matches
	// the path of a request determines its route.
	PathPrefix string
	Kind       RouteKind
	Importance Importance
	// Objective is the target latency: the time within which a response has
	// its full value.
	Objective time.Duration
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Split lists the services that share the requests, at least one.
	Split []WeightedService
}

// WeightedService is the share of a service in the requests of a route.
type WeightedService struct {
	Service string
	// Weight is the share of requests, relative to the other weights.
	Weight float64
}

// UpstreamPolicy is the policy for the upstreams of a service that routes
// lead to.
type UpstreamPolicy struct {
	Service string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts, 0
	// for the number that it announces.
	MaxConnections int
}

// ClientLimits limits the size of requests that clients send to a node, and
// the time that clients may be idle.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time from the first byte of a request to
	// the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time between requests on a connection.
	IdleTimeout time.Duration
}
