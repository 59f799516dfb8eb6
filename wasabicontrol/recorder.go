package wasabicontrol

import (
	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabievent"
)

// groupRecorder records the events of one group, such as a change of its leader, in
// the time line and the log.
type groupRecorder struct {
	ring  *wasabievent.Ring
	log   zerolog.Logger
	group string
}

// Record implements wasabistand.Recorder.
func (r groupRecorder) Record(e wasabistand.Event) {
	r.ring.Record(e)
	l := r.log.Info().Str("Group", r.group).Str("Reason", string(e.Reason))
	for _, f := range e.Fields {
		l = l.Str(f.Name, f.Value)
	}
	l.Msg(string(e.Kind))
}

// String names the implementation.
func (r groupRecorder) String() string { return "group " + r.group }
