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
	KillControl   Kind = "kill-control"   // SIGKILL, then a new start
	StopControl   Kind = "stop-control"   // SIGTERM, then a new start
	KillAll       Kind = "kill-all"       // all control instances at once
	FreezeNode    Kind = "freeze-node"
	KillNode      Kind = "kill-node"
	StopNode      Kind = "stop-node"
	ReloadNode    Kind = "reload-node"   // SIGHUP
	Busy          Kind = "busy"          // a process that uses one core
	CutLinks      Kind = "cut-links"     // links to a control instance pass nothing
	SilenceLinks  Kind = "silence-links" // they pass one direction only
	ResetLinks    Kind = "reset-links"
)

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{FreezeControl, KillControl, StopControl, KillAll, FreezeNode, KillNode, StopNode, ReloadNode, Busy, CutLinks, SilenceLinks, ResetLinks}
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
	// Share of the links is harmed, and Inward tells which direction is silent.
	Share  float64
	Inward bool
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
	// Early is a fault of control that begins with the round, so that an instance
	// catches up on many changes at once. Its kind may be empty.
	Early Fault
}

// Plan is what one run injects. It depends on the settings only.
type Plan struct {
	Faults []Fault
	Rounds []Round
	// Crowd is the number of the control instance that is alone in the region of all
	// nodes, which makes it serve most sessions, or -1.
	Crowd int
	// LastChange is the time after which no round begins, so that the effect of the
	// last changes is judged while nothing is disturbed.
	LastChange time.Duration
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
		case CutLinks, SilenceLinks, ResetLinks:
			if s.Proxy {
				ofControl = append(ofControl, k)
			}
		case FreezeControl, KillControl, StopControl, KillAll:
			ofControl = append(ofControl, k)
		default:
			ofNodes = append(ofNodes, k)
		}
	}
	windows := drawWindows(rand.New(rand.NewPCG(s.Seed, 5)), end)
	p.Faults = append(p.Faults, drawControl(rand.New(rand.NewPCG(s.Seed, 1)), s, ofControl, windows)...)
	p.Faults = append(p.Faults, drawNodes(rand.New(rand.NewPCG(s.Seed, 2)), s, ofNodes, end)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	layout := rand.New(rand.NewPCG(s.Seed, 6))
	p.Crowd = layout.IntN(s.Controls)
	if layout.IntN(2) == 0 {
		p.Crowd = -1
	}
	p.LastChange = end + quietTime/3
	p.Rounds = drawRounds(rand.New(rand.NewPCG(s.Seed, 3)), s, p.Crowd, windows, end, p.LastChange)
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
type window struct{ begin, end time.Duration }

func drawWindows(r *rand.Rand, end time.Duration) (list []window) {
	for at := leadTime; ; {
		at += between(r, 0, 4*time.Second)
		if at >= end {
			return list
		}
		w := window{at, min(at+between(r, 100*time.Millisecond, 4*time.Second), end)}
		list = append(list, w)
		at = w.end + between(r, 6*time.Second, 10*time.Second)
	}
}

func drawControl(r *rand.Rand, s Settings, kinds []Kind, windows []window) (list []Fault) {
	if len(kinds) == 0 {
		return nil
	}
	const maxFaults = 4
	for _, w := range windows {
		for range 1 + r.IntN(maxFaults) {
			f := Fault{At: between(r, w.begin, w.end), For: downTime(r), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(s.Controls)}
			if f.Kind == KillAll && r.IntN(2) == 0 {
				f.Kind = kinds[r.IntN(len(kinds))]
			}
			switch f.Kind {
			case CutLinks, SilenceLinks, ResetLinks:
				f.Share, f.Inward = []float64{0.5, 1}[r.IntN(2)], r.IntN(2) == 0
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

func drawRounds(r *rand.Rand, s Settings, crowd int, windows []window, end, last time.Duration) (list []Round) {
	for at := 500 * time.Millisecond; ; {
		// The next change hides one that got lost. Operators hold it back while a node is
		// seen behind, and some rounds are followed by a time longer than the bound.
		if r.IntN(6) == 0 {
			at += between(r, 3*time.Second, 5*time.Second)
		} else {
			at += between(r, 50*time.Millisecond, time.Second)
		}
		if at >= last {
			return list
		}
		round := Round{At: at, Gap: between(r, 0, 120*time.Millisecond), Count: 1 + r.IntN(3),
			Pair: r.IntN(4) == 0, Invalid: r.IntN(6) == 0, Lose: r.IntN(4) == 0, Resend: r.IntN(4) == 0}
		if r.IntN(2) == 0 {
			round.Count = 5 + r.IntN(12)
		}
		aimed, hit, long := r.IntN(3) == 0, r.IntN(max(len(s.Faults), 1)), downTime(r)
		disturbed := slices.ContainsFunc(windows, func(w window) bool { return w.begin <= at && at < w.end })
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
		if early := crowd; r.IntN(4) > 0 && round.Count > 4 && at < end && slices.Contains(s.Faults, FreezeControl) {
			if early < 0 {
				early = r.IntN(s.Controls)
			}
			round.Early = Fault{Kind: FreezeControl, Target: early, For: between(r, 200*time.Millisecond, 1500*time.Millisecond)}
			at += between(r, 0, time.Second) + round.Early.For
		}
		list = append(list, round)
	}
}

// String returns the plan with one event on each line.
func (p Plan) String() string {
	var b strings.Builder
	if p.Crowd >= 0 {
		fmt.Fprintf(&b, "control instance %d is alone in the region of all nodes\n", p.Crowd)
	}
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "fault %8.3f s %-14s %2d for %.3f s\n", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
	}
	for _, r := range p.Rounds {
		fmt.Fprintf(&b, "round %8.3f s %2d changes, gap %.3f s, pair %v, invalid %v, lose %v, resend %v, aim %s %d for %.3f s, early %s %d for %.3f s\n", r.At.Seconds(),
			r.Count, r.Gap.Seconds(), r.Pair, r.Invalid, r.Lose, r.Resend, r.Aim.Kind, r.Aim.Target, r.Aim.For.Seconds(), r.Early.Kind, r.Early.Target, r.Early.For.Seconds())
	}
	return b.String()
}
