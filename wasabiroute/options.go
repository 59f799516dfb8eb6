// Package wasabiroute chooses the instance that a call is sent to. It prefers
// instances in the caller's failure domain and region, then lightly loaded ones,
// and skips those that are leaving. It does not decide whether a call is retried.
package wasabiroute

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// Options holds the settings of a Router. It is an immutable value.
type Options struct {
	links              []wasabistand.RegionLink
	linkShare          float64
	maxEjectedShare    float64
	ejectAfterFailures int
	ejectBase          time.Duration
	ejectMax           time.Duration
	refusalBackoff     time.Duration
	warmup             time.Duration
	maxServices        int
	maxInstances       int
}

// NewOptions returns the default settings.
func NewOptions() Options {
	return Options{
		linkShare:          1,
		maxEjectedShare:    0.3,
		ejectAfterFailures: 5,
		ejectBase:          time.Second,
		ejectMax:           time.Minute,
		refusalBackoff:     100 * time.Millisecond,
		warmup:             30 * time.Second,
		maxServices:        1024,
		maxInstances:       1024,
	}
}

// WithRegionLinks returns a copy with these links between regions. A region
// without a link is not used.
func (o Options) WithRegionLinks(links []wasabistand.RegionLink) Options {
	o.links = append([]wasabistand.RegionLink(nil), links...)
	return o
}

// WithLinkShare returns a copy that uses at most a share, from 0 to 1, of each
// region link's budget, since every node of a region uses the same link.
func (o Options) WithLinkShare(share float64) Options {
	o.linkShare = min(max(share, 0), 1)
	return o
}

// WithMaxEjectedShare returns a copy that ejects at most a share, from 0 to
// 1, of a service's instances.
func (o Options) WithMaxEjectedShare(share float64) Options {
	o.maxEjectedShare = min(max(share, 0), 1)
	return o
}

// WithEjection returns a copy that ejects an instance after n consecutive
// failures, at first for base and at most for limit.
func (o Options) WithEjection(n int, base, limit time.Duration) Options {
	o.ejectAfterFailures, o.ejectBase, o.ejectMax = max(n, 1), base, max(base, limit)
	return o
}

// WithRefusalBackoff returns a copy that avoids an instance for d after it refused
// a call for load.
func (o Options) WithRefusalBackoff(d time.Duration) Options {
	o.refusalBackoff = d
	return o
}

// WithWarmup returns a copy that raises a cold instance to its full share
// over d.
func (o Options) WithWarmup(d time.Duration) Options {
	o.warmup = max(d, time.Millisecond)
	return o
}

// WithMaxServices returns a copy that tracks at most n services.
func (o Options) WithMaxServices(n int) Options {
	o.maxServices = max(n, 1)
	return o
}

// WithMaxInstances returns a copy that tracks at most n instances per service.
func (o Options) WithMaxInstances(n int) Options {
	o.maxInstances = max(n, 1)
	return o
}
