package wasabimatch_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"

	"github.com/wasabistand/wasabistand/internal/policy/wasabimatch"
)

func ExampleTable_Find() {
	t := wasabimatch.New([]wasabistand.Host{{Name: "shop.example", Routes: []wasabistand.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "orders", PathPrefix: "/orders/"},
	}}})
	r, _ := t.Find("shop.example:8080", "/orders/7?x=/")
	fmt.Println(r.Name)
	// Output: orders
}

// Guards against matching a shorter prefix, another host, or a prefix that ends
// within a path segment.
func TestFindLongestPrefix(t *testing.T) {
	prefixes := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a/", "b/", "ab/"}), 0, 3).Draw(t, "segments"), "")
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(prefixes, 0, 8, rapid.ID[string]).Draw(t, "prefixes")
		h := wasabistand.Host{Name: "h"}
		for _, p := range list {
			h.Routes = append(h.Routes, wasabistand.Route{Name: p, PathPrefix: p})
		}
		path := prefixes.Draw(t, "path") + rapid.SampledFrom([]string{"", "a", "x?q=/a/b/"}).Draw(t, "tail")
		want := ""
		plain, _, _ := strings.Cut(path, "?")
		for _, p := range list {
			if strings.HasPrefix(plain, p) && len(p) > len(want) {
				want = p
			}
		}
		r, ok := wasabimatch.New([]wasabistand.Host{h}).Find("H", path)
		assert.Equal(t, ok, want != "")
		if ok {
			assert.Equal(t, r.Name, want)
		}
		_, ok = wasabimatch.New([]wasabistand.Host{h}).Find("other", path)
		assert.Assert(t, !ok)
	})
}

// Guards against traffic shares that only hold over many requests, since a single
// node receives few.
func TestQuasiRandomKeepsSharesAtFewRequests(t *testing.T) {
	r := &wasabistand.Route{Split: []wasabistand.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for start := range 10 {
		s, count := wasabimatch.NewQuasiRandom(float64(start)/10), map[string]int{}
		for range 50 {
			count[wasabimatch.Choose(r, s.Next())]++
		}
		assert.Assert(t, math.Abs(float64(count["b"])/50-0.1) <= 0.04, "%v", count)
		assert.Equal(t, count["c"], 0)
	}
}
