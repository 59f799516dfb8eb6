package wasabisession

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates bounds the control addresses taken from configuration updates.
const maxCandidates = 64

// candidates orders the control instances to try: those of the node's own
// region, then the others, each by rendezvous hash. Instances that failed recently
// come last, since those of one region may be cut off together, and instances in
// backoff after a failure are left out.
type candidates struct {
	self       string
	options    Options
	configured []string
	regional   []string // of the node's own region, from updates
	all        []string // of all regions, from updates
	failed     map[string]failure
	random     *rand.Rand
}

type failure struct {
	count int
	until time.Time
}

func newCandidates(self string, o Options) *candidates {
	seed := xxhash.Sum64String(self)
	return &candidates{self: self, options: o, configured: o.controls, failed: map[string]failure{}, random: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))}
}

// setAddresses replaces the addresses received from control.
func (c *candidates) setAddresses(regional, all []string) {
	c.regional = regional[:min(len(regional), maxCandidates)]
	c.all = all[:min(len(all), maxCandidates)]
	for a := range c.failed {
		if !slices.Contains(c.regional, a) && !slices.Contains(c.all, a) && !slices.Contains(c.configured, a) {
			delete(c.failed, a)
		}
	}
}

// failureMemory is how long after the end of its backoff an instance that failed is
// tried after all others.
const failureMemory = 5 * time.Second

// ranked returns all addresses in order of preference.
func (c *candidates) ranked(now time.Time) []string {
	var list []string
	for _, tier := range [][]string{c.regional, c.all, c.configured} {
		tier = slices.Clone(tier)
		slices.SortFunc(tier, func(a, b string) int {
			if x, y := c.score(a), c.score(b); x != y {
				if x > y {
					return -1
				}
				return 1
			}
			return 0
		})
		for _, a := range tier {
			if !slices.Contains(list, a) {
				list = append(list, a)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b string) int { return c.recentFailures(now, a) - c.recentFailures(now, b) })
	return list
}

// recentFailures returns 1 for an address that failed recently, 0 for others.
func (c *candidates) recentFailures(now time.Time, address string) int {
	if f, ok := c.failed[address]; ok && now.Before(f.until.Add(failureMemory)) {
		return 1
	}
	return 0
}

// homeOf returns the preferred control instance of the node's region that is not in
// backoff, empty if there is none or if address is one of the region.
func (c *candidates) homeOf(now time.Time, address string) string {
	if c.isRegional(address) {
		return ""
	}
	for _, a := range c.ranked(now) {
		if c.isRegional(a) && !c.failed[a].until.After(now) {
			return a
		}
	}
	return ""
}

// isRegional reports whether an address is one of the node's region.
func (c *candidates) isRegional(address string) bool { return slices.Contains(c.regional, address) }

func (c *candidates) score(address string) uint64 {
	return xxhash.Sum64String(address + "\x00" + c.self)
}

// next returns the addresses to try, in order of preference, and how long to
// wait before trying them. If no address is known it returns none; if all are in
// backoff, it returns the one whose backoff ends first.
func (c *candidates) next(now time.Time) ([]string, time.Duration) {
	var list []string
	best, until := "", time.Time{}
	for _, a := range c.ranked(now) {
		f := c.failed[a]
		if !f.until.After(now) {
			list = append(list, a)
			continue
		}
		if best == "" || f.until.Before(until) {
			best, until = a, f.until
		}
	}
	switch {
	case len(list) > 0:
		return list, c.jitter(c.options.reconnectSpread)
	case best == "":
		return nil, c.options.maxBackoff
	}
	return []string{best}, until.Sub(now) + c.jitter(c.options.reconnectSpread)
}

// recordFailure starts a backoff for an address, of at least atLeast (up to the
// maximum backoff). It doubles with each consecutive failure.
func (c *candidates) recordFailure(now time.Time, address string, atLeast time.Duration) {
	f := c.failed[address]
	d := min(c.options.minBackoff<<min(f.count, 16), c.options.maxBackoff)
	f.count++
	f.until = now.Add(max(d/2+c.jitter(d/2), min(atLeast, c.options.maxBackoff)))
	c.failed[address] = f
}

// recordSuccess clears the failures of an address.
func (c *candidates) recordSuccess(address string) { delete(c.failed, address) }

func (c *candidates) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(d)))
}
