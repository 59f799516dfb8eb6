package wasabinode

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
)

// router serializes access to the routing decisions. Its mutex is held only
// briefly.
type router struct {
	make func([]wasabistand.RegionLink) wasabistand.Router

	mu        sync.Mutex
	inner     wasabistand.Router
	regions   []wasabistand.RegionLink
	instances map[string][]wasabistand.Instance
	firstUsed map[string]time.Time
}

func newRouter(build func([]wasabistand.RegionLink) wasabistand.Router) *router {
	return &router{make: build, inner: build(nil), instances: map[string][]wasabistand.Instance{}, firstUsed: map[string]time.Time{}}
}

// configure replaces the router when the links between regions have changed. The
// new router starts without observations of instances.
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

// refresh replaces all instances by those of the current view. The view is read
// under the mutex, so that an older one never replaces a newer one.
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

// firstUse returns when a service was first called, and whether its instances
// have been received from the control instances. Only declared services are
// called, so the size of the table is bounded by the configuration.
func (r *router) firstUse(now time.Time, service string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.firstUsed[service]; !ok {
		r.firstUsed[service] = now
	}
	_, known := r.instances[service]
	return r.firstUsed[service], known
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

// budget serializes access to the instance's retry budget.
type budget struct {
	make func(wasabistand.RetryPolicy) wasabistand.RetryBudget

	mu     sync.Mutex
	inner  wasabistand.RetryBudget
	policy wasabistand.RetryPolicy
}

// configure replaces the retry budget when its policy has changed.
func (b *budget) configure(policy wasabistand.RetryPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inner == nil || b.policy.SharePercent != policy.SharePercent || b.policy.MinPerSecond != policy.MinPerSecond {
		b.inner = b.make(policy)
	}
	b.policy = policy
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
