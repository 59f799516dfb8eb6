package wasabisession

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates bounds the control addresses learned from updates.
const maxCandidates = 64

// candidates chooses which control instance to try next: those of the own
// region by rendezvous hash, then the others by rendezvous hash, leaving out
// those that failed lately.
type candidates struct {
	self     string
	options  Options
	settings []string
	own      []string // of the own region, learned
	others   []string // learned
	failed   map[string]failure
	random   *rand.Rand
}

type failure struct {
	count int
	until time.Time
}

func newCandidates(self string, o Options) *candidates {
	seed := xxhash.Sum64String(self)
	return &candidates{self: self, options: o, settings: o.controls, failed: map[string]failure{}, random: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))}
}

// learn replaces the addresses that control told.
func (c *candidates) learn(own, all []string) {
	c.own = own[:min(len(own), maxCandidates)]
	c.others = all[:min(len(all), maxCandidates)]
	for a := range c.failed {
		if !slices.Contains(c.own, a) && !slices.Contains(c.others, a) && !slices.Contains(c.settings, a) {
			delete(c.failed, a)
		}
	}
}

// order lists all addresses, the best first.
func (c *candidates) order() []string {
	var list []string
	for _, tier := range [][]string{c.own, c.others, c.settings} {
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
	return list
}

func (c *candidates) score(address string) uint64 {
	return xxhash.Sum64String(address + "\x00" + c.self)
}

// next returns the addresses to try, best first, and how long to wait before.
// There are none when none is known; when all failed lately, it is the one
// that may be tried first.
func (c *candidates) next(now time.Time) ([]string, time.Duration) {
	var list []string
	best, until := "", time.Time{}
	for _, a := range c.order() {
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
		return list, c.jitter(c.options.spread)
	case best == "":
		return nil, c.options.maxBackoff
	}
	return []string{best}, until.Sub(now) + c.jitter(c.options.spread)
}

// fail notes that an address did not serve, and leaves it alone for a time
// that doubles with each failure in a row.
func (c *candidates) fail(now time.Time, address string, atLeast time.Duration) {
	f := c.failed[address]
	d := min(c.options.backoff<<min(f.count, 16), c.options.maxBackoff)
	f.count++
	f.until = now.Add(max(d/2+c.jitter(d/2), min(atLeast, c.options.maxBackoff)))
	c.failed[address] = f
}

// serve notes that an address served.
func (c *candidates) serve(address string) { delete(c.failed, address) }

func (c *candidates) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(d)))
}
