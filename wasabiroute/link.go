package wasabiroute

import (
	"time"

	"github.com/wasabistand/wasabistand"
)

// defaultCallBytes is the expected size of a call before any was observed.
const defaultCallBytes = 4096

// reservedShares is the fraction of a link's budget that calls of an importance
// leave to calls of higher importance.
var reservedShares = [wasabistand.Importances + 1]float64{
	wasabistand.Low:      0.5,
	wasabistand.Normal:   0.3,
	wasabistand.High:     0.1,
	wasabistand.Critical: 0,
}

// regionPair identifies one direction of the link between two regions.
type regionPair struct{ from, to string }

// regionLink is the byte budget of one direction: a token bucket that holds one
// second's worth.
type regionLink struct {
	roundTrip  time.Duration
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

// SetRegionLinks replaces the links between regions. This node may use the given
// share, 0 to 1, of each. Links that remain keep their budget.
func (r *Router) SetRegionLinks(links []wasabistand.RegionLink, share float64) {
	share = min(max(share, 0), 1)
	old := r.links
	r.links = make(map[regionPair]*regionLink, 2*len(links))
	for _, v := range links {
		for _, p := range []regionPair{{v.A, v.B}, {v.B, v.A}} {
			l := old[p]
			if l == nil {
				l = &regionLink{}
			}
			perSecond := max(v.BytesPerSecond, 0) * share
			l.tokens += perSecond - l.perSecond
			l.roundTrip, l.perSecond = v.RoundTrip, perSecond
			r.links[p] = l
		}
	}
}

func (l *regionLink) refill(now time.Time) {
	if !l.refilledAt.IsZero() && now.After(l.refilledAt) {
		l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond, l.perSecond)
	}
	if now.After(l.refilledAt) {
		l.refilledAt = now
	}
}

// allows reports whether the budget has room for a call. A call larger than the
// whole budget is allowed when the bucket is full.
func (l *regionLink) allows(now time.Time, i wasabistand.Importance, bytes int64) bool {
	l.refill(now)
	reserve := reservedShares[min(max(i, wasabistand.Low), wasabistand.Critical)] * l.perSecond
	return l.perSecond > 0 && l.tokens >= min(reserve+float64(bytes), l.perSecond)
}

// expectedBytes returns the size to reserve for a call.
func (s *service) expectedBytes(q *wasabistand.Query) int64 {
	if q.Bytes > 0 {
		return q.Bytes
	}
	return int64(s.meanBytes)
}

// reserveBytes takes the expected bytes of a call to another region from the
// link's budget.
func (r *Router) reserveBytes(now time.Time, s *service, i *instance, q *wasabistand.Query) {
	l := r.links[regionPair{from: q.From.Region, to: i.Location.Region}]
	bytes := s.expectedBytes(q)
	l.refill(now)
	l.tokens -= float64(bytes)
	i.link = l
	i.reservedBytes += bytes
}

// settleBytes replaces the reservation of one call by the bytes it used. Calls in
// flight to one instance share one reservation, so the mean per call is returned.
func (i *instance) settleBytes(now time.Time, bytes int64) {
	if i.link == nil {
		return
	}
	share := i.reservedBytes / int64(i.outstanding)
	i.reservedBytes -= share
	i.link.refill(now)
	i.link.tokens = min(i.link.tokens+float64(share-max(bytes, 0)), i.link.perSecond)
	if i.outstanding == 1 {
		i.link = nil
	}
}
