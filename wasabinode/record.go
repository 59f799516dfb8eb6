package wasabinode

import (
	"io"
	"log"
	"strconv"

	"github.com/wasabistand/wasabistand"
)

// discardLog drops what net/http logs of single connections; events and
// metrics tell what becomes of calls.
var discardLog = log.New(io.Discard, "", 0)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// record keeps an event of an attempt. Fields are name and value in turn.
func (n *Node) record(kind wasabistand.EventKind, a *attempt, reason wasabistand.Reason, fields ...string) {
	e := wasabistand.Event{Kind: kind, RequestID: a.requestID, Service: a.kind.Service, Call: a.kind.Call, Caller: a.caller, Reason: reason}
	for i := 0; i+1 < len(fields); i += 2 {
		e.Fields = append(e.Fields, wasabistand.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	n.parts.Recorder.Record(e)
}

// recordEntry keeps an event of a caller's call.
func (n *Node) recordEntry(kind wasabistand.EventKind, c *incoming, reason wasabistand.Reason) {
	n.parts.Recorder.Record(wasabistand.Event{
		Kind: kind, RequestID: c.fields.Request, Service: c.kind.Service, Call: c.kind.Call, Caller: c.caller.Name, Reason: reason,
		Fields: []wasabistand.HeaderField{{Name: "At", Value: "entry"}},
	})
}

// refusedHere records a refusal of a call for the local upstream.
func (n *Node) refusedHere(a *attempt, r *wasabistand.Refusal) {
	n.record(wasabistand.EventCallRefused, a, r.Reason, "Importance", a.importance.String())
	n.metrics.served(n.callLabel(a), a, r.Outcome.String(), r.Reason)
}

// callLabel returns the name of an attempt's call when it is declared: another
// node must not choose the values of labels.
func (n *Node) callLabel(a *attempt) string {
	if v := n.snapshot(); v != nil {
		for _, c := range v.contracts.Services[n.settings.service].Calls {
			if c.Name == a.kind.Call {
				return c.Name
			}
		}
	}
	return ""
}

// served records how a call ended at the local upstream.
func (n *Node) served(a *attempt, e ending) {
	switch {
	case e.refusal == nil:
		n.record(wasabistand.EventCallAnswered, a, "")
		n.metrics.served(n.callLabel(a), a, wasabistand.Answered.String(), "")
		return
	case e.refusal.Outcome == wasabistand.NotRun:
		n.record(wasabistand.EventCallRefused, a, e.refusal.Reason)
	case e.refusal.Reason == wasabistand.ReasonCancelled, e.refusal.Reason == wasabistand.ReasonPreempted:
		n.record(wasabistand.EventCallCancelled, a, e.refusal.Reason)
	default:
		n.record(wasabistand.EventCallUnknown, a, e.refusal.Reason)
	}
	n.metrics.served(n.callLabel(a), a, e.refusal.Outcome.String(), e.refusal.Reason)
}

// limitChanged is called with the admitter's mutex held.
func (n *Node) limitChanged(limit int) {
	if limit >= n.settings.slots {
		select {
		case n.watch.full <- struct{}{}:
		default:
		}
	}
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventLimitChanged, Service: n.settings.service, Fields: []wasabistand.HeaderField{{Name: "Limit", Value: strconv.Itoa(limit)}}})
}

func (n *Node) levelChanged(level wasabistand.Importance) {
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventLevelChanged, Service: n.settings.service, Fields: []wasabistand.HeaderField{{Name: "Level", Value: level.String()}}})
}

// reasons are the values that a reason from another node may have as a label.
var reasons = map[wasabistand.Reason]bool{
	wasabistand.ReasonQueueFull: true, wasabistand.ReasonDisplaced: true, wasabistand.ReasonLevel: true, wasabistand.ReasonDownstreamLevel: true,
	wasabistand.ReasonDeadline: true, wasabistand.ReasonPreempted: true, wasabistand.ReasonNoInstance: true, wasabistand.ReasonLeaving: true,
	wasabistand.ReasonNotReady: true, wasabistand.ReasonConnect: true, wasabistand.ReasonLinkLost: true, wasabistand.ReasonTruncated: true,
	wasabistand.ReasonTimeout: true, wasabistand.ReasonCancelled: true, wasabistand.ReasonShed: true, wasabistand.ReasonBadRequest: true,
	wasabistand.ReasonUnknownCall: true, wasabistand.ReasonTooLarge: true,
}

// knownReason bounds what a peer can put into metrics and problem details.
func knownReason(r wasabistand.Reason) wasabistand.Reason {
	if reasons[r] {
		return r
	}
	return wasabistand.ReasonTruncated
}
