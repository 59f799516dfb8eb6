package wasabioracle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
)

const (
	ms = time.Millisecond
	// calm is a time at which nothing has disturbed the deployment for long.
	calm = 100 * time.Second
)

var bounds = wasabioracle.Settings{Apply: 2500 * ms, Contact: 3 * time.Second, Stretch: 5 * time.Second, Downgrade: 250 * ms, Acknowledge: 4 * time.Second, Controls: 5}

// game builds the events of a test and collects what the oracle finds.
type game struct {
	*wasabioracle.Oracle
	rules    []string
	requests int
}

// newGame returns a game in which version 1, with the routes /first/ and /moving/, was
// confirmed long ago.
func newGame() *game {
	g := &game{Oracle: wasabioracle.New(bounds)}
	g.change("c1", 1, 0, map[string]string{"/c1/": "a", "/first/": "a", "/moving/": "a"})
	g.reply("c1", wasabioracle.Accepted, 0)
	return g
}

func (g *game) add(list []wasabioracle.Violation) {
	for _, v := range list {
		g.rules = append(g.rules, v.Rule)
	}
}

func (g *game) change(id string, version, base uint64, routes map[string]string) {
	g.Sent(wasabioracle.Change{ID: id, Version: version, Base: base, Routes: routes, Marker: "/" + id + "/"})
}

func (g *game) reply(id string, o wasabioracle.Outcome, at time.Duration) {
	g.add(g.Replied(id, o, "control", at, at))
}

// next sends version 2, which adds /c2/, drops /c1/ and moves /moving/ to service b.
func (g *game) next() {
	g.change("c2", 2, 1, map[string]string{"/c2/": "b", "/first/": "a", "/moving/": "b"})
}

// confirmed confirms version 2 at the time calm.
func (g *game) confirmed() {
	g.next()
	g.reply("c2", wasabioracle.Accepted, calm)
}

func (g *game) answer(node, prefix, service string, at time.Duration) {
	g.requests++
	a := wasabioracle.Answer{Node: node, ID: string(rune('a' + g.requests)), Prefix: prefix, Sent: at, Received: at + ms, Service: service, Outcome: wasabioracle.Accepted}
	a.EchoedID = a.ID
	switch service {
	case "":
		a.Outcome = wasabioracle.NotFound
	case "503":
		a.Outcome, a.Service = wasabioracle.Refused, ""
	}
	g.add(g.Answered(a))
}

func TestRules(t *testing.T) {
	const late, soon = calm + 2600*ms, calm + 2400*ms
	for _, c := range []struct {
		name string
		play func(g *game)
		want []string
	}{
		{"added route without a route, late", func(g *game) { g.confirmed(); g.answer("n", "/c2/", "", late) }, []string{wasabioracle.RuleStale}},
		{"added route without a route, soon", func(g *game) { g.confirmed(); g.answer("n", "/c2/", "", soon) }, nil},
		{"added route refused as not run", func(g *game) { g.confirmed(); g.answer("n", "/c2/", "503", late) }, nil},
		{"added route served", func(g *game) { g.confirmed(); g.answer("n", "/c2/", "b", late) }, nil},
		{"dropped route served, late", func(g *game) { g.confirmed(); g.answer("n", "/c1/", "a", late) }, []string{wasabioracle.RuleStale}},
		{"moved route served by the old service, late", func(g *game) { g.confirmed(); g.answer("n", "/moving/", "a", late) }, []string{wasabioracle.RuleStale}},
		{"moved route served by the new service", func(g *game) { g.confirmed(); g.answer("n", "/moving/", "b", late) }, nil},
		{"a later change in progress allows it", func(g *game) {
			g.confirmed()
			g.change("c3", 3, 2, map[string]string{"/first/": "a", "/moving/": "a", "/c3/": "a"})
			g.answer("n", "/moving/", "a", late)
		}, nil},
		{"node restarted within the contact window", func(g *game) {
			g.confirmed()
			g.NodeFault("n", late-2*time.Second, true, true)
			g.answer("n", "/c2/", "", late)
		}, nil},
		{"node restarted before the contact window", func(g *game) {
			g.confirmed()
			g.NodeFault("n", calm-time.Second, true, true)
			g.answer("n", "/c2/", "", late)
		}, []string{wasabioracle.RuleStale}},
		{"control disturbed within the contact window", func(g *game) {
			g.confirmed()
			g.ControlFault("x", late-time.Second, true)
			g.answer("n", "/c2/", "", late)
		}, nil},
		{"control disturbed, beyond the stretched bound", func(g *game) {
			g.confirmed()
			at := calm + 7600*ms
			g.ControlFault("x", at-time.Second, true)
			g.answer("n", "/c2/", "", at)
		}, []string{wasabioracle.RuleStretched}},
		{"control without a majority, beyond the stretched bound", func(g *game) {
			g.confirmed()
			at := calm + 7600*ms
			for _, name := range []string{"x", "y", "z"} {
				g.ControlFault(name, at-2*time.Second, false)
			}
			g.ControlFault("x", at-time.Second, true)
			g.answer("n", "/c2/", "", at)
		}, nil},
		{"links of control were harmed until shortly before", func(g *game) {
			g.LinkFault("x", calm-10*time.Second, true)
			g.confirmed()
			g.LinkFault("x", late-2*time.Second, false)
			g.answer("n", "/c2/", "", late)
		}, nil},
		{"links of control are harmed for long", func(g *game) {
			g.LinkFault("x", calm-10*time.Second, true)
			g.confirmed()
			g.answer("n", "/c2/", "", late)
		}, nil},
		{"links of control were harmed long before", func(g *game) {
			g.LinkFault("x", calm-10*time.Second, true)
			g.LinkFault("x", calm-9*time.Second, false)
			g.confirmed()
			g.answer("n", "/c2/", "", late)
		}, []string{wasabioracle.RuleStale}},
		{"the run itself was held up", func(g *game) {
			g.confirmed()
			g.Stall(late - time.Second)
			g.answer("n", "/c2/", "", late)
		}, nil},
		{"older after the effect was seen", func(g *game) {
			g.confirmed()
			g.answer("n", "/c2/", "b", calm+100*ms)
			g.answer("n", "/c2/", "", calm+400*ms)
		}, []string{wasabioracle.RuleRegress}},
		{"older after the effect was seen, in a frozen deployment", func(g *game) {
			g.confirmed()
			g.answer("n", "/c2/", "b", calm+100*ms)
			g.NodeFault("n", calm+200*ms, true, false)
			g.answer("n", "/c2/", "", calm+400*ms)
		}, []string{wasabioracle.RuleRegress}},
		{"older within the slack", func(g *game) {
			g.confirmed()
			g.answer("n", "/c2/", "b", calm+100*ms)
			g.answer("n", "/c2/", "", calm+300*ms)
		}, nil},
		{"older at another node", func(g *game) {
			g.confirmed()
			g.answer("m", "/c2/", "b", calm+100*ms)
			g.answer("n", "/c2/", "", calm+400*ms)
		}, nil},
		{"older in another lifetime", func(g *game) {
			g.confirmed()
			g.answer("n", "/c2/", "b", calm+100*ms)
			g.NodeFault("n", calm+200*ms, true, true)
			g.answer("n", "/c2/", "", calm+400*ms)
		}, nil},
		{"a route that all versions have is not found", func(g *game) { g.confirmed(); g.answer("n", "/first/", "", soon) }, []string{wasabioracle.RuleNoVersion}},
		{"a route that no version has is not found", func(g *game) { g.confirmed(); g.answer("n", "/never/", "", late) }, nil},
		{"served by a service that no version allows", func(g *game) { g.confirmed(); g.answer("n", "/first/", "b", late) }, []string{wasabioracle.RuleNoVersion}},
		{"a read is older, late", func(g *game) {
			g.confirmed()
			g.add(g.Read("control", 1, []string{"/c1/", "/first/", "/moving/"}, late, late, false))
		}, []string{wasabioracle.RuleRead}},
		{"a read is older, soon", func(g *game) {
			g.confirmed()
			g.add(g.Read("control", 1, []string{"/c1/", "/first/", "/moving/"}, soon, soon, false))
		}, nil},
		{"a final read is older, soon", func(g *game) {
			g.confirmed()
			g.add(g.Read("control", 1, []string{"/c1/", "/first/", "/moving/"}, soon, soon, true))
		}, []string{wasabioracle.RuleLost}},
		{"a read is what was sent", func(g *game) {
			g.confirmed()
			g.add(g.Read("control", 2, []string{"/c2/", "/first/", "/moving/"}, late, late, true))
		}, nil},
		{"a read lacks a route", func(g *game) {
			g.confirmed()
			g.add(g.Read("control", 2, []string{"/c2/", "/first/"}, late, late, false))
		}, []string{wasabioracle.RuleLost}},
		{"a read has a number that was not sent", func(g *game) {
			g.confirmed()
			g.add(g.Read("control", 3, []string{"/c2/", "/first/", "/moving/"}, late, late, false))
		}, []string{wasabioracle.RuleLost}},
		{"a refused change is served", func(g *game) {
			g.next()
			g.reply("c2", wasabioracle.Conflict, calm)
			g.answer("n", "/c2/", "b", late)
		}, []string{wasabioracle.RuleInForce, wasabioracle.RuleNoVersion}},
		{"a change is refused after it was served", func(g *game) {
			g.next()
			g.answer("n", "/c2/", "b", calm)
			g.reply("c2", wasabioracle.Conflict, calm+ms)
		}, []string{wasabioracle.RuleInForce}},
		{"a refused change is read", func(g *game) {
			g.next()
			g.reply("c2", wasabioracle.Conflict, calm)
			g.add(g.Read("control", 2, []string{"/c2/", "/first/", "/moving/"}, late, late, false))
		}, []string{wasabioracle.RuleInForce}},
		{"a refused change is acknowledged", func(g *game) {
			g.next()
			g.reply("c2", wasabioracle.Conflict, calm)
			g.reply("c2", wasabioracle.Accepted, calm+ms)
		}, []string{wasabioracle.RuleInForce}},
		{"a refused change is not served", func(g *game) {
			g.next()
			g.reply("c2", wasabioracle.Conflict, calm)
			g.answer("n", "/c2/", "", late)
		}, nil},
		{"an invalid change is acknowledged", func(g *game) {
			g.Sent(wasabioracle.Change{ID: "c2", Version: 2, Base: 1, Invalid: "no-timeout", Marker: "/c2/"})
			g.reply("c2", wasabioracle.Accepted, calm)
		}, []string{wasabioracle.RuleInvalid}},
		{"an invalid change is refused", func(g *game) {
			g.Sent(wasabioracle.Change{ID: "c2", Version: 2, Base: 1, Invalid: "no-timeout", Marker: "/c2/"})
			g.reply("c2", wasabioracle.Refused, calm)
		}, nil},
		{"two changes on one base are acknowledged", func(g *game) {
			g.confirmed()
			g.change("d2", 3, 1, map[string]string{"/d2/": "a"})
			g.reply("d2", wasabioracle.Accepted, calm+ms)
		}, []string{wasabioracle.RuleBothTaken}},
		{"one of two changes on one base is acknowledged", func(g *game) {
			g.confirmed()
			g.change("d2", 3, 1, map[string]string{"/d2/": "a"})
			g.reply("d2", wasabioracle.Conflict, calm+ms)
		}, nil},
		{"an acknowledged change is sent again and refused", func(g *game) { g.confirmed(); g.reply("c2", wasabioracle.Conflict, late) }, []string{wasabioracle.RuleResend}},
		{"an acknowledged change is sent again and acknowledged", func(g *game) { g.confirmed(); g.reply("c2", wasabioracle.Accepted, late) }, nil},
		{"an acknowledged change is sent again while another is on its way", func(g *game) {
			g.confirmed()
			g.change("c3", 3, 2, map[string]string{"/c3/": "a"})
			g.reply("c2", wasabioracle.Conflict, late)
		}, nil},
		{"the answer to another request", func(g *game) {
			g.add(g.Answered(wasabioracle.Answer{Node: "n", ID: "r1", EchoedID: "r0", Prefix: "/first/", Sent: calm, Received: calm, Outcome: wasabioracle.Accepted, Service: "a"}))
		}, []string{wasabioracle.RuleMixed}},
		{"a request that may run once runs twice", func(g *game) { g.add(g.Ran("r1", "n", true, calm)); g.add(g.Ran("r1", "m", true, calm)) }, []string{wasabioracle.RuleTwice}},
		{"a request that may run again runs twice", func(g *game) { g.add(g.Ran("r1", "n", false, calm)); g.add(g.Ran("r1", "m", false, calm)) }, nil},
		{"a request is refused as not run and has run", func(g *game) {
			g.add(g.Ran("r1", "n", true, calm))
			g.add(g.Answered(wasabioracle.Answer{Node: "n", ID: "r1", Prefix: "/first/", Sent: calm, Received: calm + ms, Outcome: wasabioracle.Refused}))
		}, []string{wasabioracle.RuleRefusedRan}},
		{"a request is refused as not run and runs later", func(g *game) {
			g.add(g.Answered(wasabioracle.Answer{Node: "n", ID: "r1", Prefix: "/first/", Sent: calm, Received: calm + ms, Outcome: wasabioracle.Refused}))
			g.add(g.Ran("r1", "n", true, calm+2*ms))
		}, []string{wasabioracle.RuleRefusedRan}},
		{"a request has run and its answer is unclear", func(g *game) {
			g.add(g.Ran("r1", "n", true, calm))
			g.add(g.Answered(wasabioracle.Answer{Node: "n", ID: "r1", Prefix: "/first/", Sent: calm, Received: calm + ms}))
		}, nil},
		{"added routes are refused while the first ones are served", func(g *game) {
			g.confirmed()
			for range 20 {
				g.answer("n", "/c2/", "503", late)
				g.answer("n", "/first/", "a", late)
			}
			g.add(g.Finish(late))
		}, []string{wasabioracle.RuleNotServed}},
		{"added routes are refused as often as the first ones", func(g *game) {
			g.confirmed()
			for range 20 {
				g.answer("n", "/c2/", "503", late)
				g.answer("n", "/first/", "503", late)
			}
			g.add(g.Finish(late))
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGame()
			c.play(g)
			assert.DeepEqual(t, g.rules, c.want)
		})
	}
}

// Answers that an older version allows are counted also where no promise holds, since
// those that last show a machine that was forgotten.
func TestOutOfTouchIsCounted(t *testing.T) {
	g := newGame()
	g.confirmed()
	g.NodeFault("n", calm+2*time.Second, true, true)
	g.answer("n", "/c2/", "", calm+2600*ms)
	assert.Equal(t, g.Counts().LateOutOfTouch, 1)
	assert.Equal(t, g.Counts().LastingOutOfTouch, 0)
	for _, name := range []string{"x", "y", "z"} {
		g.ControlFault(name, calm+3*time.Second, false)
	}
	g.answer("n", "/c2/", "", calm+10*time.Second)
	assert.Equal(t, g.Counts().LateOutOfTouch, 2)
	assert.Equal(t, g.Counts().LastingOutOfTouch, 1)
	assert.Equal(t, len(g.rules), 0)
}

// A change that is late while control is disturbed breaks no bound.
func TestSlowChanges(t *testing.T) {
	g := newGame()
	g.Slow(calm, calm+4*time.Second)
	assert.Equal(t, g.Counts().SlowChanges, 1)
	g.ControlFault("x", calm+10*time.Second, true)
	g.Slow(calm+11*time.Second, calm+15*time.Second)
	assert.Equal(t, g.Counts().SlowChanges, 1)
}
