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

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Read reads a log into lines. Lines of another form are passed over; others
// tells how many.
func Read(r io.Reader) (list []Line, others int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// before is for how long before a request's first line a process may have
// learned what decided it: some heartbeats of an instance, and the bound within
// which a configuration is in force.
const before = 5 * time.Second

// beliefs are the events that change what a process believes.
var beliefs = map[string]bool{
	"started": true, "stopping gracefully": true, "stopped": true, "gateway stops": true,
	"session.up": true, "session.down": true, "link silent": true, "configuration in force": true,
	"announced": true, "heartbeat": true, "instance asked": true, "instance deregisters": true,
	"instance can't be reached": true, "instance gets no further calls": true, "lines left out": true,
}

// Trace is what the logs say of one request.
type Trace struct {
	// Request are the lines that name the request, in the order of their times.
	Request []Line
	// Beliefs are what the processes of those lines, and those that were tried,
	// came to believe since shortly before.
	Beliefs []Line
}

// Find returns what a log says of a request. The error is of the class Error
// where no line names it.
func Find(log []Line, requestID string) (Trace, error) {
	var t Trace
	involved := map[string]bool{}
	for _, l := range log {
		if l.Fields["RequestID"] == requestID {
			t.Request = append(t.Request, l)
			involved[l.Instance] = true
			for _, name := range tried(l) {
				involved[name] = true
			}
		}
	}
	if len(t.Request) == 0 {
		return Trace{}, Error.New("no line names request %q; answered requests have one line a second and process", requestID)
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Request, byTime)
	from, to := t.Request[0].At.Add(-before), t.Request[len(t.Request)-1].At
	for _, l := range log {
		if beliefs[l.Event] && involved[l.Instance] && !l.At.Before(from) && !l.At.After(to) {
			t.Beliefs = append(t.Beliefs, l)
		}
	}
	slices.SortStableFunc(t.Beliefs, byTime)
	return t, nil
}

// tried returns the names of the instances that a line says were tried.
func tried(l Line) []string {
	var list []string
	if json.Unmarshal([]byte(l.Fields["Tried"]), &list) != nil {
		return nil
	}
	for i, id := range list {
		list[i], _, _ = strings.Cut(id, "@")
	}
	return list
}

// Last returns the line that says what the caller got, or the latest one.
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
		return "the upstream answered; compare TookMs with MeanMs and Waiting for a late one"
	}
	return "the reason " + l.Fields["Reason"] + " is not known to this version"
}

// causes are what the reasons of refused and failed requests mean.
var causes = map[wasabistand.Reason]string{
	wasabistand.ReasonDeadline:        "the time left was too short: see Waiting and Limit of the served lines, and LeftMs",
	wasabistand.ReasonLevel:           "more important calls took the instance's slots: see Importance, InUse and Limit",
	wasabistand.ReasonDownstreamLevel: "a service further down refuses calls of this importance",
	wasabistand.ReasonQueueFull:       "the queue, the connections or the memory for bodies were used up",
	wasabistand.ReasonDisplaced:       "a more important call took the place in a full queue",
	wasabistand.ReasonShed:            "the upstream refused although its node had counted a free slot: see Slots of its heartbeat",
	wasabistand.ReasonNoInstance:      "all instances were tried, leave or are unknown: see their announced lines",
	wasabistand.ReasonNotReady:        "the process had no configuration or no report of its instance yet: see session.up and instance asked",
	wasabistand.ReasonLeaving:         "the instance or the node was leaving: see its heartbeat and stopping lines",
	wasabistand.ReasonConnect:         "the instance could not be reached; the request was not sent",
	wasabistand.ReasonLinkLost:        "the node beside the instance went away while it held the request: see link silent and started",
	wasabistand.ReasonTruncated:       "the upstream's answer broke off, or was no answer to this request: see Detail of the served line",
	wasabistand.ReasonTimeout:         "the time ran out while the upstream worked: see TookMs and MeanMs",
	wasabistand.ReasonCancelled:       "the caller had gone; nothing failed",
	wasabistand.ReasonUnknownCall:     "no route of the revision in force fits: see configuration in force",
	wasabistand.ReasonTooLarge:        "the body is larger than the configuration allows",
	wasabistand.ReasonBadRequest:      "the request was malformed: see Detail",
}
