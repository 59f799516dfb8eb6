package wasabitrace

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("trace")

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Read parses a log. Lines of another form are skipped; others is their number.
func Read(r io.Reader) (list []Line, others int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := Parse(s.Text()); ok {
			list = append(list, l)
		} else {
			others++
		}
	}
	if err := s.Err(); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	return list, others, nil
}

// lookback is the time before a request's first line in which state changes may
// have influenced the request: several heartbeats of an instance, and the bound
// within which a configuration is applied.
const lookback = 5 * time.Second

// stateEvents are the events that change the state of a process or what it
// assumes about other processes.
var stateEvents = map[string]bool{
	"started": true, "stopping gracefully": true, "stopped": true, "gateway stops": true,
	"session.up": true, "session.down": true, "link silent": true, "configuration in force": true,
	"announced": true, "heartbeat": true, "instance asked": true, "instance deregisters": true,
	"instance can't be reached": true, "instance gets no further calls": true, "lines left out": true,
}

// Trace holds the log lines that concern one request.
type Trace struct {
	// Request are the lines that name the request, ordered by time.
	Request []Line
	// StateChanges are the lines on state changes of the processes that logged the
	// request and of the instances that were tried, from shortly before the request
	// until its last line.
	StateChanges []Line
}

// Find returns the trace of a request. The error is of the class Error if no
// line names the request.
func Find(log []Line, requestID string) (Trace, error) {
	var t Trace
	involved := map[string]bool{}
	for _, l := range log {
		if l.Fields["RequestID"] == requestID {
			t.Request = append(t.Request, l)
			involved[l.Instance] = true
			for _, name := range triedInstances(l) {
				involved[name] = true
			}
		}
	}
	if len(t.Request) == 0 {
		return Trace{}, Error.New("no line names request %q; of answered requests, each process logs only one a second", requestID)
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Request, byTime)
	from, to := t.Request[0].At.Add(-lookback), t.Request[len(t.Request)-1].At
	for _, l := range log {
		if stateEvents[l.Event] && involved[l.Instance] && !l.At.Before(from) && !l.At.After(to) {
			t.StateChanges = append(t.StateChanges, l)
		}
	}
	slices.SortStableFunc(t.StateChanges, byTime)
	return t, nil
}

// triedInstances returns the names of the instances in a line's field Tried.
func triedInstances(l Line) []string {
	var list []string
	if json.Unmarshal([]byte(l.Fields["Tried"]), &list) != nil {
		return nil
	}
	for i, id := range list {
		list[i], _, _ = strings.Cut(id, "@")
	}
	return list
}

// Last returns the line with the outcome that the caller received, or the latest
// line if there is none.
func (t Trace) Last() Line {
	for _, l := range slices.Backward(t.Request) {
		if l.Event == "answered" || l.Event == "refused" || l.Event == "cut" {
			return l
		}
	}
	return t.Request[len(t.Request)-1]
}

// Cause explains how the request ended.
func (t Trace) Cause() string {
	l := t.Last()
	if text, ok := causes[wasabistand.Reason(l.Fields["Reason"])]; ok {
		return text
	}
	if l.Fields["Outcome"] == "answered" {
		if strings.HasPrefix(l.Fields["Status"], "5") {
			return "the upstream itself failed; the time it ran is TookMs of the served line"
		}
		return "the upstream responded; if the response was late, compare TookMs with MeanMs and Waiting"
	}
	return "the reason " + l.Fields["Reason"] + " is not known to this version"
}

// causes explains the reasons of refused and failed requests.
var causes = map[wasabistand.Reason]string{
	wasabistand.ReasonDeadline:        "the time left was too short: see Waiting and Limit of the served lines, and LeftMs",
	wasabistand.ReasonLevel:           "calls of higher importance occupied the instance's slots: see Importance, InUse and Limit",
	wasabistand.ReasonDownstreamLevel: "a downstream service refuses calls of this importance",
	wasabistand.ReasonQueueFull:       "the queue, the connections or the memory for bodies were used up",
	wasabistand.ReasonDisplaced:       "a call of higher importance took the place in a full queue",
	wasabistand.ReasonShed:            "the upstream refused the request although its node had counted a free slot: see Slots of its heartbeat",
	wasabistand.ReasonNoInstance:      "all instances were tried, are leaving or are unknown: see their announced lines",
	wasabistand.ReasonNotReady:        "the process had no configuration or no report of its instance yet: see session.up and instance asked",
	wasabistand.ReasonUnconfirmed:     "the active revision has no route, and control had not confirmed it for too long: see ConfirmedMsAgo, session.down",
	wasabistand.ReasonLeaving:         "the instance or the node was leaving: see its heartbeat and stopping lines",
	wasabistand.ReasonConnect:         "the instance could not be reached; the request was not sent",
	wasabistand.ReasonLinkLost:        "the connection to the instance's node was lost while that node held the request: see link silent and started",
	wasabistand.ReasonTruncated:       "the upstream's answer broke off, or was no answer to this request: see Detail of the served line",
	wasabistand.ReasonTimeout:         "the deadline passed while the upstream processed the request: see TookMs and MeanMs",
	wasabistand.ReasonCancelled:       "the caller had disconnected; nothing failed",
	wasabistand.ReasonUnknownCall:     "no route of the active revision matches: see configuration in force",
	wasabistand.ReasonTooLarge:        "the body is larger than the configuration allows",
	wasabistand.ReasonBadRequest:      "the request was malformed: see Detail",
}
