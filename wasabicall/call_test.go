package wasabicall_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabicall"
)

// Guards against counting the time of outgoing calls twice or not at all: for
// any overlap the result must equal the time in which at least one was open.
func TestDownstreamTimeIsUnionOfIntervals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &wasabicall.Call{}
		now := time.Unix(0, 0)
		open, want := 0, time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 2).Draw(t, "step"); {
			case step == 0:
				c.BeginOutgoing(now)
				open++
			case step == 1 && open > 0:
				c.EndOutgoing(now)
				open--
			default:
				d := time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
				now = now.Add(d)
				if open > 0 {
					want += d
				}
			}
			if got := c.DownstreamTime(now); got != want {
				t.Fatalf("downstream time %v, want %v", got, want)
			}
		}
	})
}

// Guards against finding an ended call by its token, and against a registry
// that grows without bound.
func TestRegistryForgetsEndedCalls(t *testing.T) {
	r := wasabicall.New()
	a, b := &wasabicall.Call{RequestID: "r"}, &wasabicall.Call{RequestID: "r"}
	r.Add(a)
	r.Add(b)
	assert.Assert(t, a.Token() != b.Token())
	assert.Equal(t, r.Find(a.Token()), a)
	r.Remove(a)
	r.Remove(a)
	assert.Assert(t, r.Find(a.Token()) == nil && r.Find("") == nil)
	assert.Assert(t, r.HasRequest("r"))
	r.Remove(b)
	assert.Assert(t, !r.HasRequest("r"))
	assert.Equal(t, r.Len(), 0)
}

// Guards against a rare outgoing call that causes all calls of a kind to be
// refused, and against a common one that has no effect.
func TestDependenciesCountUsualCallsOnly(t *testing.T) {
	d := wasabicall.NewDependencies()
	k := wasabistand.CallKind{Service: "a", Call: "x"}
	usual, rare := wasabistand.CallKind{Service: "b", Call: "y"}, wasabistand.CallKind{Service: "c", Call: "z"}
	for i := range 10_000 {
		d.RecordOutgoing(k, usual)
		if i%10 == 0 {
			d.RecordOutgoing(k, rare)
		}
		d.RecordCall(k)
	}
	levelWith := func(overloaded wasabistand.CallKind) wasabistand.Importance {
		return d.Level(k, func(c wasabistand.CallKind) wasabistand.Importance {
			if c == overloaded {
				return wasabistand.High
			}
			return wasabistand.Low
		})
	}
	assert.Equal(t, levelWith(usual), wasabistand.High)
	assert.Equal(t, levelWith(rare), wasabistand.Low)
}
