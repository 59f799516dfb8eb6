package wasabisoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	FreezeControl Kind = "freeze-control" // SIGSTOP, then SIGCONT
	// LagControl is a control instance that is frozen while a burst of changes is made.
	// It then applies all of them at once. Operators use another one.
	LagControl  Kind = "lag-control"
	KillControl Kind = "kill-control" // SIGKILL, then a new start
	StopControl Kind = "stop-control" // SIGTERM, then a new start
	KillAll     Kind = "kill-all"     // all control instances at once
	FreezeNode  Kind = "freeze-node"
	KillNode    Kind = "kill-node"
	StopNode    Kind = "stop-node"
	ReloadNode  Kind = "reload-node" // SIGHUP
	Busy        Kind = "busy"        // a process that uses one core
)

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{FreezeControl, LagControl, KillControl, StopControl, KillAll, FreezeNode, KillNode, StopNode, ReloadNode, Busy}
}

// ParseKinds parses a list of kinds that are separated by commas. "none" and "all"
// stand for no kind and for all of them.
func ParseKinds(text string) ([]Kind, error) {
	switch text {
	case "none", "":
		return nil, nil
	case "all":
		return Kinds(), nil
	}
	var list []Kind
	for _, k := range strings.Split(text, ",") {
		if !slices.Contains(Kinds(), Kind(k)) {
			return nil, Error.New("faults: %q, allowed are none, all, and of %v", k, Kinds())
		}
		list = append(list, Kind(k))
	}
	return list, nil
}

// Fault is one planned fault.
type Fault struct {
	At, For time.Duration
	Kind    Kind
	Target  int // the machine's number among those of its role
}

// Round is one planned group of changes of operators, one after another. A pair is
// two changes on the same base by two operators at the same time.
type Round struct {
	At, Gap time.Duration
	Count   int
	Pair    bool
	Invalid bool // an invalid change goes first
	Lose    bool // responses are lost, and the change is sent again elsewhere
	Resend  bool // the last one is sent again after its acknowledgement
	// Aim is a fault that hits the control instance that acknowledged, or a node,
	// as soon as the last change is acknowledged. It may be empty.
	Aim Fault
	// Behind is the fault of kind LagControl that starts with the round. It may be empty.
	Behind Fault
}

// Plan is what one run injects. It depends on the settings only.
type Plan struct {
	Faults []Fault
	Rounds []Round
}

// Times of a plan.
const (
	leadTime  = 2 * time.Second  // without faults at the start
	quietTime = 12 * time.Second // without faults at the end, so that what lasts shows
	// minDisturbedTime is the shortest time between the first and the last fault.
	minDisturbedTime = 5 * time.Second
)

// NewPlan draws a plan.
func NewPlan(s Settings) Plan {
	var p Plan
	end := max(s.Duration-quietTime, leadTime+minDisturbedTime)
	var ofControl, ofNodes []Kind
	for _, k := range s.Faults {
		switch k {
		case FreezeControl, LagControl, KillControl, StopControl, KillAll:
			ofControl = append(ofControl, k)
		default:
			ofNodes = append(ofNodes, k)
		}
	}
	windows := drawWindows(rand.New(rand.NewPCG(s.Seed, 5)), end, ofControl)
	p.Faults = append(p.Faults, drawControl(rand.New(rand.NewPCG(s.Seed, 1)), s, ofControl, windows)...)
	p.Faults = append(p.Faults, drawNodes(rand.New(rand.NewPCG(s.Seed, 2)), s, ofNodes, end)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	p.Rounds = drawRounds(rand.New(rand.NewPCG(s.Seed, 3)), s, windows, end)
	p.Rounds = append(p.Rounds, drawCatchUps(rand.New(rand.NewPCG(s.Seed, 6)), s, windows)...)
	slices.SortStableFunc(p.Rounds, func(a, b Round) int { return int(a.At - b.At) })
	return p
}

// between draws a time.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Float64()*float64(high-low))
}

// downTime draws how long a fault lasts: short ones are as frequent as long ones.
func downTime(r *rand.Rand) time.Duration {
	if r.IntN(2) == 0 {
		return between(r, 200*time.Millisecond, time.Second)
	}
	return between(r, time.Second, 5*time.Second)
}

// window is a time in which control is disturbed. Calm times between windows are
// longer than the contact window, since bounds hold for machines in touch only.
type window struct {
	begin, end time.Duration
	// catchUp is set for a window whose only fault is of kind LagControl. No change
	// follows for calmAfter, since the next one would hide what was lost.
	catchUp   bool
	calmAfter time.Duration
}

// contains reports whether a time is in the window or in the calm time after it.
func (w window) contains(at time.Duration) bool { return w.begin <= at && at < w.end+w.calmAfter }

// Times of a window with a catch-up.
const (
	catchUpTime = 1500 * time.Millisecond
	// catchUpCalm exceeds the contact window and the time in which a change must be in
	// force.
	catchUpCalm = 7500 * time.Millisecond
)

func drawWindows(r *rand.Rand, end time.Duration, ofControl []Kind) (list []window) {
	for at := leadTime; ; {
		at += between(r, 0, 6*time.Second)
		if at >= end {
			return list
		}
		w := window{begin: at, end: min(at+between(r, 100*time.Millisecond, 4*time.Second), end)}
		calm := between(r, 3500*time.Millisecond, 7*time.Second)
		if n := len(ofControl); n > 0 && ofControl[r.IntN(n)] == LagControl && at+catchUpTime < end {
			w.end, w.catchUp, w.calmAfter = at+catchUpTime, true, catchUpCalm
			calm = catchUpCalm
		}
		list = append(list, w)
		at = w.end + calm
	}
}

func drawControl(r *rand.Rand, s Settings, kinds []Kind, windows []window) (list []Fault) {
	if len(kinds) == 0 {
		return nil
	}
	const maxFaults = 4
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return k == LagControl })
	for _, w := range windows {
		if w.catchUp || len(kinds) == 0 {
			continue
		}
		for range 1 + r.IntN(maxFaults) {
			f := Fault{At: between(r, w.begin, w.end), For: downTime(r), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(s.Controls)}
			if f.Kind == KillAll && r.IntN(2) == 0 {
				f.Kind = kinds[r.IntN(len(kinds))]
			}
			list = append(list, f)
		}
	}
	return list
}

func drawNodes(r *rand.Rand, s Settings, kinds []Kind, end time.Duration) (list []Fault) {
	if len(kinds) == 0 {
		return nil
	}
	for at := leadTime; ; {
		at += between(r, 200*time.Millisecond, 3*time.Second)
		if at >= end {
			return list
		}
		list = append(list, Fault{At: at, For: downTime(r), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(s.Nodes)})
	}
}

func drawRounds(r *rand.Rand, s Settings, windows []window, end time.Duration) (list []Round) {
	for at := 500 * time.Millisecond; ; {
		if r.IntN(3) == 0 {
			at += between(r, 1500*time.Millisecond, 4*time.Second)
		} else {
			at += between(r, 50*time.Millisecond, time.Second)
		}
		// Changes end before the quiet time does, so that their effect is judged.
		if at >= end+quietTime/3 {
			return list
		}
		if slices.ContainsFunc(windows, func(w window) bool { return w.catchUp && w.contains(at) }) {
			continue
		}
		round := Round{At: at, Gap: between(r, 0, 120*time.Millisecond), Count: 1 + r.IntN(3),
			Pair: r.IntN(4) == 0, Invalid: r.IntN(6) == 0, Lose: r.IntN(4) == 0, Resend: r.IntN(4) == 0}
		if r.IntN(3) == 0 {
			round.Count = 5 + r.IntN(12)
		}
		aimed, hit, long := r.IntN(3) == 0, r.IntN(max(len(s.Faults), 1)), downTime(r)
		disturbed := slices.ContainsFunc(windows, func(w window) bool { return !w.catchUp && w.contains(at) })
		if aimed && at < end && len(s.Faults) > 0 {
			switch k := s.Faults[hit]; k {
			case FreezeNode, KillNode, StopNode, ReloadNode:
				round.Aim = Fault{Kind: k, For: long, Target: r.IntN(s.Nodes)}
			case FreezeControl, KillControl, StopControl:
				if disturbed {
					round.Aim = Fault{Kind: k, For: long}
				}
			}
		}
		list = append(list, round)
	}
}

// drawCatchUps draws the rounds of the windows with a catch-up.
func drawCatchUps(r *rand.Rand, s Settings, windows []window) (list []Round) {
	for _, w := range windows {
		if !w.catchUp {
			continue
		}
		target := r.IntN(s.Controls)
		if s.Together {
			target = togetherControl
		}
		list = append(list, Round{
			At: w.begin, Gap: between(r, 20*time.Millisecond, 80*time.Millisecond), Count: 8 + r.IntN(8),
			Behind: Fault{Kind: LagControl, For: between(r, 400*time.Millisecond, 1200*time.Millisecond), Target: target},
		})
	}
	return list
}

// String returns the plan with one event on each line.
func (p Plan) String() string {
	var b strings.Builder
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "fault %8.3f s %-14s %2d for %.3f s\n", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
	}
	for _, r := range p.Rounds {
		fmt.Fprintf(&b, "round %8.3f s %2d changes, gap %.3f s, pair %v, invalid %v, lose %v, resend %v, aim %s %d for %.3f s, behind %s %d for %.3f s\n", r.At.Seconds(),
			r.Count, r.Gap.Seconds(), r.Pair, r.Invalid, r.Lose, r.Resend, r.Aim.Kind, r.Aim.Target, r.Aim.For.Seconds(),
			r.Behind.Kind, r.Behind.Target, r.Behind.For.Seconds())
	}
	return b.String()
}
