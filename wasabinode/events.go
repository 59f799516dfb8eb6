package wasabinode

import (
	"io"
	"log"
	"strconv"

	"github.com/wasabistand/wasabistand"
)

// discardLog drops the log lines that net/http writes for single connections;
// events and metrics cover the outcomes of calls.
var discardLog = log.New(io.Discard, "", 0)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// recordAttempt records an event of an attempt. fields alternate between names
// and values.
func (n *Node) recordAttempt(kind wasabistand.EventKind, a *attempt, reason wasabistand.Reason, fields ...string) {
	e := wasabistand.Event{Kind: kind, RequestID: a.requestID, Service: a.kind.Service, Call: a.kind.Call, Caller: a.caller, Reason: reason}
	for i := 0; i+1 < len(fields); i += 2 {
		e.Fields = append(e.Fields, wasabistand.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	n.parts.Recorder.Record(e)
}

// recordIngress records an event of a call that a caller made through this node.
func (n *Node) recordIngress(kind wasabistand.EventKind, c *ingressCall, reason wasabistand.Reason) {
	n.parts.Recorder.Record(wasabistand.Event{
		Kind: kind, RequestID: c.fields.Request, Service: c.kind.Service, Call: c.kind.Call, Caller: c.caller.Name, Reason: reason,
		Fields: []wasabistand.HeaderField{{Name: wasabistand.EventFieldAt, Value: wasabistand.EventAtEntry}},
	})
}

// recordRefusal records that a call for the local upstream was refused before it
// reached the upstream.
func (n *Node) recordRefusal(a *attempt, r *wasabistand.Refusal) {
	n.recordAttempt(wasabistand.EventCallRefused, a, r.Reason, "Importance", a.importance.String())
	n.metrics.recordUpstreamCall(n.callLabel(a), a, r.Outcome.String(), r.Reason)
}

// callLabel returns the name of an attempt's call if the configuration declares
// it, else "": another node must not be able to choose label values.
func (n *Node) callLabel(a *attempt) string {
	if config := n.activeConfig(); config != nil {
		for _, c := range config.configuration.Services[n.settings.service].Calls {
			if c.Name == a.kind.Call {
				return c.Name
			}
		}
	}
	return ""
}

// recordUpstreamCall records the outcome of a call at the local upstream.
func (n *Node) recordUpstreamCall(a *attempt, result attemptResult) {
	switch {
	case result.refusal == nil:
		n.recordAttempt(wasabistand.EventCallAnswered, a, "")
		n.metrics.recordUpstreamCall(n.callLabel(a), a, wasabistand.Answered.String(), "")
		return
	case result.refusal.Outcome == wasabistand.NotRun:
		n.recordAttempt(wasabistand.EventCallRefused, a, result.refusal.Reason)
	case result.refusal.Reason == wasabistand.ReasonCancelled, result.refusal.Reason == wasabistand.ReasonPreempted:
		n.recordAttempt(wasabistand.EventCallCancelled, a, result.refusal.Reason)
	default:
		n.recordAttempt(wasabistand.EventCallUnknown, a, result.refusal.Reason)
	}
	n.metrics.recordUpstreamCall(n.callLabel(a), a, result.refusal.Outcome.String(), result.refusal.Reason)
}

// limitChanged records a new concurrency limit. It is called with the admitter's
// mutex held.
func (n *Node) limitChanged(limit int) {
	if limit >= n.settings.slots {
		select {
		case n.monitor.limitReached <- struct{}{}:
		default:
		}
	}
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventLimitChanged, Service: n.settings.service, Fields: []wasabistand.HeaderField{{Name: "Limit", Value: strconv.Itoa(limit)}}})
}

func (n *Node) levelChanged(level wasabistand.Importance) {
	n.parts.Recorder.Record(wasabistand.Event{Kind: wasabistand.EventLevelChanged, Service: n.settings.service, Fields: []wasabistand.HeaderField{{Name: "Level", Value: level.String()}}})
}

// knownReasons holds the reasons from other nodes that may be used as label
// values.
var knownReasons = map[wasabistand.Reason]bool{
	wasabistand.ReasonQueueFull: true, wasabistand.ReasonDisplaced: true, wasabistand.ReasonLevel: true, wasabistand.ReasonDownstreamLevel: true,
	wasabistand.ReasonDeadline: true, wasabistand.ReasonPreempted: true, wasabistand.ReasonNoInstance: true, wasabistand.ReasonLeaving: true,
	wasabistand.ReasonNotReady: true, wasabistand.ReasonConnect: true, wasabistand.ReasonLinkLost: true, wasabistand.ReasonTruncated: true,
	wasabistand.ReasonTimeout: true, wasabistand.ReasonCancelled: true, wasabistand.ReasonShed: true, wasabistand.ReasonBadRequest: true,
	wasabistand.ReasonUnknownCall: true, wasabistand.ReasonTooLarge: true,
}

// normalizeReason maps unknown reasons to ReasonTruncated, so that a peer can't
// put arbitrary values into metrics and problem details.
func normalizeReason(r wasabistand.Reason) wasabistand.Reason {
	if knownReasons[r] {
		return r
	}
	return wasabistand.ReasonTruncated
}
