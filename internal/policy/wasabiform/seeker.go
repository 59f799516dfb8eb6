package wasabiform

import (
	"time"
)

// seekAfter is the time without a message from a leader after which an instance asks
// whether it is a member: several heartbeats. It is well below an election timeout,
// since asking disturbs nobody.
const seekAfter = 600 * time.Millisecond

// Seeker decides when an instance asks the leader of its group to make it a member. A
// removed member is sent nothing more, so it asks whenever no leader was heard, and
// after it was started or stood still. It is not safe for concurrent use.
type Seeker struct {
	lastStep time.Time
	// unconfirmed is set until a leader has listed this instance after it was started
	// or stood still. What it has read since may have been sent before that.
	unconfirmed bool
	// since is when the instance began to ask, zero while it does not.
	since time.Time
}

// NewSeeker returns a Seeker of an instance that has just started.
func NewSeeker() *Seeker { return &Seeker{unconfirmed: true} }

// ShouldAsk reports whether the instance asks now. It must be called several times per
// second; a longer pause means that the process stood still. leaderContact is the time
// of the latest message from a leader, zero for none.
func (s *Seeker) ShouldAsk(now, leaderContact time.Time) bool {
	// Some clocks do not count the time of a suspended machine, and the time of day
	// may be set. Asking once too often does no harm.
	if !s.lastStep.IsZero() && max(now.Sub(s.lastStep), now.Round(0).Sub(s.lastStep.Round(0))) >= seekAfter {
		s.unconfirmed = true
	}
	s.lastStep = now
	if !s.unconfirmed && now.Sub(leaderContact) < seekAfter {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	return true
}

// Confirm records that the leader lists this instance.
func (s *Seeker) Confirm() { s.unconfirmed = false }

// Since returns when the instance began to ask, the zero time while it does not.
func (s *Seeker) Since() time.Time { return s.since }

// String returns the name of the implementation.
func (s *Seeker) String() string { return "seeker" }
