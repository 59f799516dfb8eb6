package wasabiroute

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// defaultBytes is the expected size of a call before any was seen.
const defaultBytes = 4096

// reserves is the part of a link's budget that calls of an importance leave
// to more important ones.
var reserves = [wasabistand.Importances + 1]float64{
	wasabistand.Low:      0.5,
	wasabistand.Normal:   0.3,
	wasabistand.High:     0.1,
	wasabistand.Critical: 0,
}

// pair names one direction between two regions.
type pair struct{ from, to string }

// link is the budget of one direction, as a token bucket of one second.
type link struct {
	roundTrip time.Duration
	perSecond float64
	tokens    float64
	filled    time.Time
}

// SetRegionLinks replaces the links between regions, of which this node may
// use a share from 0 to 1. Budgets of links that stay are kept.
func (r *Router) SetRegionLinks(links []wasabistand.RegionLink, share float64) {
	share = min(max(share, 0), 1)
	old := r.links
	r.links = make(map[pair]*link, 2*len(links))
	for _, v := range links {
		for _, p := range []pair{{v.A, v.B}, {v.B, v.A}} {
			l := old[p]
			if l == nil {
				l = &link{}
			}
			perSecond := max(v.BytesPerSecond, 0) * share
			l.tokens += perSecond - l.perSecond
			l.roundTrip, l.perSecond = v.RoundTrip, perSecond
			r.links[p] = l
		}
	}
}

func (l *link) fill(now time.Time) {
	if !l.filled.IsZero() && now.After(l.filled) {
		l.tokens = min(l.tokens+now.Sub(l.filled).Seconds()*l.perSecond, l.perSecond)
	}
	if now.After(l.filled) {
		l.filled = now
	}
}

// allows reports whether the budget has room for a call. A call larger than
// the whole budget waits for a full one.
func (l *link) allows(now time.Time, i wasabistand.Importance, bytes int64) bool {
	l.fill(now)
	reserve := reserves[min(max(i, wasabistand.Low), wasabistand.Critical)] * l.perSecond
	return l.perSecond > 0 && l.tokens >= min(reserve+float64(bytes), l.perSecond)
}

// expectedBytes is the size that is reserved for a call.
func (s *service) expectedBytes(q *wasabistand.Query) int64 {
	if q.Bytes > 0 {
		return q.Bytes
	}
	return int64(s.meanBytes)
}

// reserve takes the expected bytes of a call to another region from the link.
func (r *Router) reserve(now time.Time, s *service, i *instance, q *wasabistand.Query) {
	l := r.links[pair{from: q.From.Region, to: i.Location.Region}]
	bytes := s.expectedBytes(q)
	l.fill(now)
	l.tokens -= float64(bytes)
	i.link = l
	i.reserved += bytes
}

// settle replaces what was reserved for one call by what it used. Calls in
// flight to one instance are reserved together, so their mean is given back.
func (i *instance) settle(now time.Time, bytes int64) {
	if i.link == nil {
		return
	}
	share := i.reserved / int64(i.outstanding)
	i.reserved -= share
	i.link.fill(now)
	i.link.tokens = min(i.link.tokens+float64(share-max(bytes, 0)), i.link.perSecond)
	if i.outstanding == 1 {
		i.link = nil
	}
}
