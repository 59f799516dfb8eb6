package wasabioracle

import (
	"fmt"
	"time"
)

// Ran records that an instance began to work on a request. A request with once set
// may run once at most.
func (o *Oracle) Ran(id, node string, once bool, at time.Duration) []Violation {
	r := o.runs[id]
	if r == nil {
		r = &runs{}
		o.runs[id] = r
	}
	r.count++
	r.once = r.once || once
	switch {
	case r.refused && r.once:
		return []Violation{{Rule: RuleRefusedRan, Machine: r.node, At: at, SinceFault: o.sinceFault(r.node, at), Detail: id + " was refused as not run and ran later at " + node}}
	case r.once && r.count > 1:
		return []Violation{{Rule: RuleTwice, Machine: node, At: at, SinceFault: o.sinceFault(node, at), Detail: id + " ran again"}}
	}
	return nil
}

func (o *Oracle) sinceFault(name string, at time.Duration) time.Duration {
	return at - max(o.node(name).faultAt, o.controlFaultAt)
}

// Answered judges the answer to a request.
func (o *Oracle) Answered(a Answer) (list []Violation) {
	n := o.node(a.Node)
	inTouch := o.ran(n, a.Sent) && n.faultAt < a.Sent && o.calm(a.Sent) && o.calm(a.Received)
	confirmed := o.confirmedBy(a.Sent - o.settings.Apply)
	o.count(a, inTouch, confirmed)
	broken := func(rule string, expected *state, seen uint64, format string, v ...any) {
		x := Violation{Rule: rule, Machine: a.Node, At: a.Sent, SinceFault: o.sinceFault(a.Node, a.Sent), Seen: seen,
			Detail: fmt.Sprintf("%s %s %s %s: ", a.ID, a.Prefix, a.Outcome, a.Service) + fmt.Sprintf(format, v...)}
		if expected != nil {
			x.Expected, x.SinceConfirmed = expected.Version, a.Sent-expected.confirmedAt
		}
		list = append(list, x)
	}
	if a.Outcome == Refused {
		r := o.runs[a.ID]
		if r == nil {
			r = &runs{}
			o.runs[a.ID] = r
		}
		r.refused, r.node = true, a.Node
		if r.once && r.count > 0 {
			broken(RuleRefusedRan, nil, 0, "refused as not run and has run")
		}
	}
	if a.Outcome != Accepted && a.Outcome != NotFound {
		return list
	}
	if a.Outcome == Accepted && a.EchoedID != a.ID {
		broken(RuleMixed, nil, 0, "the answer is that to %q", a.EchoedID)
		return list
	}
	if a.Outcome == Accepted {
		o.markSeen(a, broken)
	}
	oldest, newest, known := o.allowing(a)
	if !known {
		broken(RuleNoVersion, confirmed, 0, "no version allows it")
		return list
	}
	for _, f := range n.floor {
		if a.Sent > f.at+o.settings.Downgrade && newest < f.version {
			broken(RuleRegress, confirmed, newest, "the node had version %d in force at %.3f s", f.version, f.at.Seconds())
			break
		}
	}
	if a.Outcome == Accepted && oldest > 0 && (len(n.floor) == 0 || n.floor[len(n.floor)-1].version < oldest) && n.faultAt <= a.Sent {
		n.floor = append(n.floor, floor{at: a.Received, version: oldest})
	}
	if confirmed == nil || newest >= confirmed.Version {
		return list
	}
	stretched := o.confirmedBy(a.Sent - o.settings.Apply - o.settings.Stretch)
	switch {
	case inTouch:
		broken(RuleStale, confirmed, newest, "older than confirmed")
	case stretched != nil && newest < stretched.Version && o.ran(n, a.Sent) && !o.minority() && o.minorityAt < stretched.confirmedAt:
		broken(RuleStretched, stretched, newest, "older than confirmed while control is disturbed")
	default:
		o.counts.LateOutOfTouch++
		if o.sinceFault(a.Node, a.Sent) > o.settings.Apply+o.settings.Contact {
			o.counts.LastingOutOfTouch++
		}
	}
	return list
}

// markSeen records that the marker of a change is served.
func (o *Oracle) markSeen(a Answer, broken func(string, *state, uint64, string, ...any)) {
	for _, s := range o.changes {
		if s.Marker != a.Prefix {
			continue
		}
		if s.seenAt == never {
			s.seenAt, s.seenBy = a.Received, a.Node
		}
		if s.refused || s.Invalid != "" {
			broken(RuleInForce, nil, s.Version, "%s was refused or is invalid (%s) and is in force", s.ID, s.Invalid)
		}
		return
	}
}

// allowing returns the oldest and the newest version that allow the answer, among
// those that may be in force. Version 0 has no configuration, which allows nothing but
// a refusal.
func (o *Oracle) allowing(a Answer) (oldest, newest uint64, known bool) {
	for _, s := range o.changes {
		if s.Invalid != "" || s.refused {
			continue
		}
		service, ok := s.Routes[a.Prefix]
		if ok != (a.Outcome == Accepted) || service != a.Service {
			continue
		}
		if !known || s.Version < oldest {
			oldest = s.Version
		}
		newest = max(newest, s.Version)
		known = true
	}
	return oldest, newest, known
}

func (o *Oracle) count(a Answer, inTouch bool, confirmed *state) {
	o.counts.Requests++
	if inTouch {
		o.counts.InTouch++
	}
	switch a.Outcome {
	case Accepted:
		o.counts.Served++
	case NotFound:
		o.counts.NotFound++
	case Refused:
		o.counts.Refused++
		if inTouch {
			o.counts.RefusedInTouch++
		}
	default:
		o.counts.Unclear++
	}
	if !inTouch || confirmed == nil {
		return
	}
	// Only routes that all versions which may be in force have are compared.
	for _, s := range o.changes {
		if _, ok := s.Routes[a.Prefix]; !ok && s.Version >= confirmed.Version {
			return
		}
	}
	group := &o.added
	if _, ok := o.newest[0].Routes[a.Prefix]; ok {
		group = &o.first
	}
	group.asked++
	if a.Outcome == Accepted {
		group.served++
	}
}

// Read judges the answer to a read of the configuration. The prefixes are those of
// its routes. A final read must be the newest acknowledged change or a later one.
func (o *Oracle) Read(machine string, version uint64, prefixes []string, sent, received time.Duration, final bool) (list []Violation) {
	bound := sent - o.settings.Apply
	if final {
		bound = sent
	}
	broken := func(rule string, expected *state, format string, a ...any) {
		v := Violation{Rule: rule, Machine: machine, At: sent, SinceFault: sent - o.controlFaultAt, Seen: version, Detail: fmt.Sprintf(format, a...)}
		if expected != nil {
			v.Expected, v.SinceConfirmed = expected.Version, sent-expected.confirmedAt
		}
		list = append(list, v)
	}
	confirmed := o.confirmedBy(bound)
	if confirmed != nil && version < confirmed.Version {
		rule := RuleRead
		if final {
			rule = RuleLost
		}
		broken(rule, confirmed, "a read is older than confirmed")
	}
	routes := map[string]bool{}
	for _, p := range prefixes {
		routes[p] = true
	}
	for _, s := range o.changes {
		if s.Version != version || !routes[s.Marker] {
			continue
		}
		if s.seenAt == never {
			s.seenAt, s.seenBy = received, machine
		}
		if s.refused || s.Invalid != "" {
			broken(RuleInForce, nil, "%s was refused or is invalid (%s) and is read", s.ID, s.Invalid)
		}
		if len(routes) != len(s.Routes) {
			broken(RuleLost, s, "read with %d routes, sent with %d", len(routes), len(s.Routes))
		}
		return list
	}
	broken(RuleLost, confirmed, "what is read was not sent under its number")
	return list
}

// Bounds of the comparison of added routes with the first ones.
const (
	minAddedRequests = 20
	minServedShare   = 0.25
)

// Finish returns the violations that show only over the whole run.
func (o *Oracle) Finish(at time.Duration) []Violation {
	a, f := o.added, o.first
	if a.asked < minAddedRequests || f.asked == 0 {
		return nil
	}
	if float64(a.served)/float64(a.asked) >= minServedShare*float64(f.served)/float64(f.asked) {
		return nil
	}
	return []Violation{{Rule: RuleNotServed, Machine: "all", At: at,
		Detail: fmt.Sprintf("%d of %d requests on added routes were served, and %d of %d on the first ones", a.served, a.asked, f.served, f.asked)}}
}
