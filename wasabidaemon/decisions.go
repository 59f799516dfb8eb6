package wasabidaemon

import (
	"math/rand/v2"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiadmission"
	"github.com/wasabistand/wasabistand/wasabilevel"
	"github.com/wasabistand/wasabistand/wasabilimit"
	"github.com/wasabistand/wasabistand/wasabinode"
	"github.com/wasabistand/wasabistand/wasabiretry"
	"github.com/wasabistand/wasabistand/wasabiroute"
)

// DecisionParts returns Parts in which the components that make a node's decisions
// are set. Only the node's router uses random. If coldStart, the warm-up time of
// the upstream, is above 0, the limiter starts with a fraction of the slots.
func DecisionParts(random *rand.Rand, coldStart time.Duration) wasabinode.Parts {
	return wasabinode.Parts{
		Levels: wasabilevel.New(wasabilevel.NewOptions()),
		Router: func(links []wasabistand.RegionLink) wasabistand.Router {
			return wasabiroute.New(random, wasabiroute.NewOptions().WithRegionLinks(links))
		},
		Budget: func(r wasabistand.RetryPolicy) wasabistand.RetryBudget {
			return wasabiretry.NewBudget(wasabiretry.NewBudgetOptions().WithSharePercent(r.SharePercent).WithMinPerSecond(r.MinPerSecond))
		},
		RequestRetryBudget: func(n int) wasabistand.RequestRetryBudget { return wasabiretry.NewRequestBudget(n) },
		Admission: func(limit int, s wasabistand.Service) wasabistand.Admission {
			return wasabiadmission.New(wasabiadmission.NewOptions().WithLimit(limit).WithQueueLimit(s.QueueLimit).WithPreempt(s.PreemptLowerImportance))
		},
		Limiter: func(slots int) wasabistand.Limiter {
			return wasabilimit.New(wasabilimit.NewOptions(slots).WithCold(coldStart > 0))
		},
	}
}
