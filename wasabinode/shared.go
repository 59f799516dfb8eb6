package wasabinode

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// router guards the routing decisions by one short-held mutex.
type router struct {
	make func([]wasabistand.RegionLink) wasabistand.Router

	mu        sync.Mutex
	inner     wasabistand.Router
	regions   []wasabistand.RegionLink
	instances map[string][]wasabistand.Instance
	used      map[string]time.Time
}

func newRouter(build func([]wasabistand.RegionLink) wasabistand.Router) *router {
	return &router{make: build, inner: build(nil), instances: map[string][]wasabistand.Instance{}, used: map[string]time.Time{}}
}

// configure replaces the router when the links between regions are declared
// anew. What it learned of instances is learned again.
func (r *router) configure(now time.Time, regions []wasabistand.RegionLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(regions, r.regions) {
		return
	}
	r.regions, r.inner = slices.Clone(regions), r.make(regions)
	for service, list := range r.instances {
		r.inner.SetInstances(now, service, list)
	}
}

// refresh replaces all instances by the current view's. The view is read under
// the mutex, so that an older one never replaces a newer one.
func (r *router) refresh(now time.Time, d wasabistand.Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := d.View()
	if v == nil {
		return
	}
	all := v.Instances
	for service := range r.instances {
		if _, ok := all[service]; !ok {
			r.inner.SetInstances(now, service, nil)
		}
	}
	for service, list := range all {
		if !slices.Equal(list, r.instances[service]) {
			r.inner.SetInstances(now, service, list)
		}
	}
	r.instances = maps.Clone(all)
	if r.instances == nil {
		r.instances = map[string][]wasabistand.Instance{}
	}
}

// firstUse returns when a service was first called, and whether control has
// told of its instances. Only declared services are called, so the table is
// bounded by the configuration.
func (r *router) firstUse(now time.Time, service string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.used[service]; !ok {
		r.used[service] = now
	}
	_, known := r.instances[service]
	return r.used[service], known
}

func (r *router) pick(now time.Time, q wasabistand.Query) (wasabistand.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner.Pick(now, q)
}

func (r *router) done(now time.Time, service, instance string, result wasabistand.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inner.Done(now, service, instance, result)
}

// budget guards the instance's retry budget.
type budget struct {
	make func(wasabistand.RetryPolicy) wasabistand.RetryBudget

	mu       sync.Mutex
	inner    wasabistand.RetryBudget
	contract wasabistand.RetryPolicy
}

// configure replaces the budget when it is declared anew.
func (b *budget) configure(c wasabistand.RetryPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inner == nil || b.contract.SharePercent != c.SharePercent || b.contract.MinPerSecond != c.MinPerSecond {
		b.inner = b.make(c)
	}
	b.contract = c
}

func (b *budget) attempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inner.Attempt(now)
}

func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inner.Retry(now)
}
