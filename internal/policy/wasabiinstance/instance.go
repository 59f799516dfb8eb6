// Package wasabiinstance follows the upstream instance beside a node by what
// it says of itself: heartbeats that may come late, doubled or from an earlier
// incarnation. It decides whether the instance takes new work. It does not
// send anything.
package wasabiinstance

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// ErrStale is the class of reports that say nothing new: of an earlier
// incarnation, or overtaken by a later report.
var ErrStale = errs.Class("stale report")

// Report is what an instance says of itself in a heartbeat.
type Report struct {
	ID string
	// Born is the start of the incarnation in Unix milliseconds, 0 when the
	// report does not say it.
	Born uint64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	Service  string
	Address  string
	Version  string
	Slots    int
	// Leaving says that the instance drains.
	Leaving bool
	// Cold is how much longer the instance is slow after its start.
	Cold time.Duration
}

// State is what is known of the instance: an immutable value.
type State struct {
	Report
	// Known says that any report was taken.
	Known bool
	// Confirmed says that the instance takes work: a report alone may be one
	// that was overtaken by a drain this node does not remember.
	Confirmed bool
	// Lifetime counts the incarnations since the node's start.
	Lifetime int
	// ReportedAt is when the latest report came.
	ReportedAt time.Time
	// LeavingSince is when the drain was reported.
	LeavingSince time.Time
	coldUntil    time.Time
}

// TakesWork reports whether the instance may get new calls.
func (s State) TakesWork() bool { return s.Known && s.Confirmed && !s.Leaving }

// IsCold reports whether the instance is still slow after its start.
func (s State) IsCold(now time.Time) bool { return now.Before(s.coldUntil) }

// Tracker follows one instance. It is not safe for concurrent use.
type Tracker struct {
	service string
	state   State
}

// New returns a tracker of an instance of a service.
func New(service string) *Tracker { return &Tracker{service: service} }

// State returns what is known.
func (t *Tracker) State() State { return t.state }

// Heartbeat takes a report. The error is of class ErrStale for one that is
// overtaken and wasabistand.ErrInvalid for one that names no instance of the
// service.
func (t *Tracker) Heartbeat(now time.Time, r Report) error {
	switch {
	case r.ID == "":
		return wasabistand.ErrInvalid.New("id: empty")
	case r.Service != t.service:
		return wasabistand.ErrInvalid.New("service: %q, allowed is %q", r.Service, t.service)
	case r.Slots < 1:
		return wasabistand.ErrInvalid.New("slots: %d, allowed are 1 and above", r.Slots)
	}
	if t.state.Known {
		switch newer, err := t.newer(r); {
		case err != nil:
			return err
		case newer:
			t.begin(now, r)
			return nil
		}
		if t.state.Leaving && !r.Leaving {
			return ErrStale.New("instance %q said before that it leaves", r.ID)
		}
		since := t.state.LeavingSince
		if r.Leaving && !t.state.Leaving {
			since = now
		}
		t.state.Report, t.state.ReportedAt, t.state.LeavingSince = r, now, since
		t.state.coldUntil = now.Add(r.Cold)
		return nil
	}
	t.begin(now, r)
	return nil
}

// newer reports whether a report begins a new incarnation.
func (t *Tracker) newer(r Report) (bool, error) {
	s := &t.state
	switch {
	case r.Born != 0 && s.Born != 0 && r.Born != s.Born:
		if r.Born < s.Born {
			return false, ErrStale.New("born: %d, the incarnation since %d is known", r.Born, s.Born)
		}
		return true, nil
	case r.ID != s.ID:
		return true, nil
	case r.Sequence <= s.Sequence:
		return false, ErrStale.New("sequence: %d, the report %d is known", r.Sequence, s.Sequence)
	}
	return false, nil
}

func (t *Tracker) begin(now time.Time, r Report) {
	t.state = State{Report: r, Known: true, Lifetime: t.state.Lifetime + 1, ReportedAt: now, coldUntil: now.Add(r.Cold)}
	if r.Leaving {
		t.state.LeavingSince = now
	}
}

// Leave takes the word of an instance that it leaves for good. born is 0 when
// the instance did not say it. It reports whether this is the one that is
// known.
func (t *Tracker) Leave(now time.Time, id string, born uint64) bool {
	s := &t.state
	if !s.Known {
		// The word is kept, so that a late heartbeat does not revoke it.
		t.state = State{Report: Report{ID: id, Born: born, Leaving: true, Service: t.service, Sequence: ^uint64(0)}, Known: true, Lifetime: 1, ReportedAt: now, LeavingSince: now}
		return true
	}
	if s.ID != id || born != 0 && s.Born != 0 && born != s.Born {
		return false
	}
	if !s.Leaving {
		s.Leaving, s.LeavingSince = true, now
	}
	s.Sequence = ^uint64(0)
	return true
}

// Confirm records that the instance of a lifetime was asked and takes work, or
// says that it leaves.
func (t *Tracker) Confirm(now time.Time, lifetime int, takesWork bool) {
	if t.state.Lifetime != lifetime {
		return
	}
	if takesWork {
		t.state.Confirmed = true
		return
	}
	if !t.state.Leaving {
		t.state.Leaving, t.state.LeavingSince = true, now
	}
}

// String names the implementation.
func (t *Tracker) String() string {
	return fmt.Sprintf("instance(%s, lifetime %d)", t.state.ID, t.state.Lifetime)
}
