package wasabiplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

// BenchmarkPick measures one Pick with its Done for several numbers of instances per
// service, with 170 services.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{6, 14, 28, 56} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p := wasabiplace.New(wasabiplace.NewOptions(), here, rand.New(rand.NewPCG(1, 2)))
			var names []string
			for s := range 170 {
				name := fmt.Sprint("service-", s)
				var list []wasabistand.Instance
				for i := range size {
					list = append(list, instance(fmt.Sprint(name, "-", i), fmt.Sprint("r", i%2), fmt.Sprint("d", i%5), 50))
				}
				p.SetInstances(name, list)
				names = append(names, name)
			}
			load := &wasabistand.Load{Running: 20, Limit: 50, ServiceTime: 20 * time.Millisecond}
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				name := names[n%len(names)]
				c, err := p.Pick(now, wasabiplace.Query{Service: name, Kind: "k", RetryBudgetShare: 1, Remaining: time.Second})
				if err != nil {
					b.Fatal(err)
				}
				p.Done(now, name, c.Instance.ID, wasabiplace.Result{Kind: "k", ServiceTime: 20 * time.Millisecond, Load: load})
			}
		})
	}
}
