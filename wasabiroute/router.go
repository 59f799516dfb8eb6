package wasabiroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

// Router implements wasabistand.Router. It holds no lock: its owner
// serializes calls.
type Router struct {
	options  Options
	random   *rand.Rand
	services map[string][]wasabistand.Instance
}

var _ wasabistand.Router = (*Router)(nil)

// New returns a router without any instance.
func New(random *rand.Rand, o Options) *Router {
	return &Router{options: o, random: random, services: make(map[string][]wasabistand.Instance)}
}

// SetInstances replaces the instances of a service.
func (r *Router) SetInstances(_ time.Time, service string, list []wasabistand.Instance) {
	r.services[service] = slices.Clone(list)
}

// Pick chooses an instance that is not in q.Exclude.
func (r *Router) Pick(_ time.Time, q wasabistand.Query) (wasabistand.Instance, error) {
	list := r.services[q.Service]
	for n := range list {
		if i := list[n]; i.TakesWork() && !slices.Contains(q.Exclude, i.ID) {
			return i, nil
		}
	}
	return wasabistand.Instance{}, wasabistand.NewRefusal(wasabistand.ReasonNoInstance, "")
}

// Done records how the call ended.
func (r *Router) Done(time.Time, string, string, wasabistand.Result) {}

// String names the implementation.
func (r *Router) String() string { return "wasabiroute.Router" }
