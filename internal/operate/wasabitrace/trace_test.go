package wasabitrace_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/internal/operate/wasabitrace"
	_ "github.com/wasabistand/wasabistand/internal/wasabiseed"
	"github.com/wasabistand/wasabistand/wasabiprocess"
)

// Guards against a value in a log line that the parser loses or takes for
// another field.
func TestParseReadsLoggerOutput(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		event := rapid.StringMatching(`[a-z][a-z. ]{0,20}[a-z]`).Draw(rt, "event")
		value, detail := rapid.String().Draw(rt, "value"), rapid.StringMatching(`["=\\ a\n]{0,12}`).Draw(rt, "detail")
		var b bytes.Buffer
		log := wasabiprocess.NewLogger(&b, "node", "n-1")
		log.Info().Str("Value", value).Str("Detail", detail).Int("Left", -3).Strs("Tried", []string{"a@1", "b \"c\"@2"}).Msg(event)
		assert.Equal(rt, strings.Count(b.String(), "\n"), 1)
		l, ok := wasabitrace.Parse("node-1.log:" + b.String())
		assert.Assert(rt, ok, "%s", b.String())
		assert.Equal(rt, l.Event, event)
		assert.Equal(rt, l.Instance, "n-1")
		assert.Equal(rt, l.Fields["Value"], strings.ToValidUTF8(value, "\ufffd"))
		assert.Equal(rt, l.Fields["Detail"], detail)
		assert.Equal(rt, l.Fields["Left"], "-3")
		assert.Equal(rt, l.Fields["Tried"], `["a@1","b \"c\"@2"]`)
	})
}

// recorded holds shortened lines of a real run: the request was sent to two
// instances without free slots, one of which had just become ready.
const recorded = `
   25.10 core-1 Time=2026-01-13T16:49:26.100Z Level=info Event=manifest Instance=core-1 Version=9
Time=2026-01-13T16:49:18.000Z Level=info Event=announced Instance=wuse-2 State=Leaving
Time=2026-01-13T16:49:25.000Z Level=info Event=announced Instance=garki-2 State=Cold
Time=2026-01-13T16:49:25.100Z Level=info Event=announced Instance=ikeja-9 State=Ready
Time=2026-01-13T16:49:26.620521283Z Level=info Event=refused Arrived=0 Attempts=2 Detail="" Importance=High Instance=wuse-1 Outcome=not-run Reason=deadline RequestID=282a RetryAfter=50 Status=503 Tried="[\"wuse-2@10.3.0.24:7760\",\"garki-2@10.6.0.41:7760\"]"
Time=2026-01-13T16:49:26.5Z Level=info Event=served Instance=wuse-2 InUse=64 Limit=64 Outcome=not-run Reason=deadline RequestID=282a Waiting=18
Time=2026-01-13T16:49:26.6Z Level=info Event=served Instance=wuse-2 InUse=64 Limit=64 Outcome=answered Status=200 RequestID=282a.1 Waiting=18
not a line of a process
`

// Guards against a trace with lines of other requests or processes, and against
// lines that are ordered by file instead of by time.
func TestFindSelectsAndOrdersLines(t *testing.T) {
	log, others, err := wasabitrace.Read(strings.NewReader(recorded))
	assert.NilError(t, err)
	assert.Equal(t, others, 2)
	got, err := wasabitrace.Find(log, "282a")
	assert.NilError(t, err)
	assert.Equal(t, len(got.Request), 2)
	assert.Equal(t, got.Request[0].Event, "served")
	assert.Equal(t, got.Last().Fields["Status"], "503")
	assert.Equal(t, len(got.StateChanges), 1)
	assert.Equal(t, got.StateChanges[0].Instance, "garki-2")
	assert.Assert(t, strings.HasPrefix(got.Cause(), "the time left was too short"))
	_, err = wasabitrace.Find(log, "other")
	assert.Assert(t, wasabitrace.Error.Has(err))
}

// Guards against a reason of routed requests that has no explanation.
func TestEveryReasonIsExplained(t *testing.T) {
	for _, r := range []wasabistand.Reason{
		wasabistand.ReasonDeadline, wasabistand.ReasonLevel, wasabistand.ReasonQueueFull, wasabistand.ReasonDisplaced, wasabistand.ReasonShed,
		wasabistand.ReasonNoInstance, wasabistand.ReasonNotReady, wasabistand.ReasonLeaving, wasabistand.ReasonConnect, wasabistand.ReasonLinkLost,
		wasabistand.ReasonTruncated, wasabistand.ReasonTimeout, wasabistand.ReasonCancelled, wasabistand.ReasonUnknownCall, wasabistand.ReasonTooLarge, wasabistand.ReasonBadRequest,
	} {
		trace := wasabitrace.Trace{Request: []wasabitrace.Line{{Event: "refused", Fields: map[string]string{"Reason": string(r), "Outcome": "not-run"}}}}
		assert.Assert(t, !strings.Contains(trace.Cause(), "not known"), "%s", r)
	}
}
