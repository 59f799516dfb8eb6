// Package wasabiinstance tracks the state of a node's local upstream instance from
// the heartbeats that the instance sends. Heartbeats may arrive late, duplicated or
// from an earlier incarnation, and may come from senders that are not the instance.
// The package decides whether the instance accepts new calls. It does no I/O.
package wasabiinstance

import (
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

var (
	// ErrStale is the error class of obsolete reports: from an earlier incarnation, or
	// superseded by a later report.
	ErrStale = errs.Class("stale report")
	// ErrDropped is the class of those stale reports that say something else of the
	// instance than what is tracked. Their senders must not take them as heeded.
	ErrDropped = errs.Class("not in force")
)

const (
	// supersedeAfter is how long an incarnation is silent before another one that
	// reports takes its place, although it started earlier: two heartbeats.
	supersedeAfter = 3 * time.Second
	// minSupersedeReports is the number of reports that it takes, and
	// minSupersedeSpread the time between the first and the last of them. Late reports
	// of an incarnation that has ended come together.
	minSupersedeReports = 2
	minSupersedeSpread  = time.Second
	// maxBorn is the last millisecond of the year 9999.
	maxBorn = 253_402_300_799_999
)

// Report is the content of an instance's heartbeat.
type Report struct {
	ID string
	// Born is the start of the incarnation in Unix milliseconds, 0 when the report
	// omits it.
	Born uint64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	Service  string
	Address  string
	Version  string
	Slots    int
	// Leaving is set when the instance is draining.
	Leaving bool
	// ColdRemaining is the remaining duration of the instance's cold start, during
	// which it is slow.
	ColdRemaining time.Duration
}

// State is the tracked state of the instance. It is an immutable value.
type State struct {
	Report
	// Known is set once a report was accepted.
	Known bool
	// Confirmed is set once the instance confirmed that it accepts calls. A report
	// alone does not suffice: it may be superseded by a drain that this node lost
	// in a restart.
	Confirmed bool
	// Deregistered is set once the instance deregistered.
	Deregistered bool
	// Lifetime is the number of the incarnation, counted from the node's start.
	Lifetime int
	// KnownSince is when the incarnation's first report was received.
	KnownSince time.Time
	// ReportedAt is when the latest report was received.
	ReportedAt time.Time
	// LeavingSince is when the drain was first reported.
	LeavingSince time.Time
	coldUntil    time.Time
}

// AcceptsCalls reports whether the instance may get new calls.
func (s State) AcceptsCalls() bool { return s.Known && s.Confirmed && !s.Leaving }

// NeedsConfirmation reports whether the instance has yet to be asked with success.
func (s State) NeedsConfirmation() bool { return s.Known && !s.Confirmed && !s.Leaving }

// IsCold reports whether the instance is still in its cold start.
func (s State) IsCold(now time.Time) bool { return now.Before(s.coldUntil) }

// Tracker tracks the state of one instance. It is not safe for concurrent use.
type Tracker struct {
	service string
	address string
	state   State
	other   candidate
}

// candidate is an incarnation that reports although a later start is tracked. The start
// is the sender's time of day, which may be set back, or another sender's, which may be
// any number.
type candidate struct {
	report  Report // the latest one
	reports int
	since   time.Time // of the first report
}

// New returns a Tracker for the instance of a service that listens at an address.
func New(service, address string) *Tracker { return &Tracker{service: service, address: address} }

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Heartbeat applies a report. The error is of class ErrStale for a superseded report, also
// of ErrDropped if it says something else than what is tracked, and of class
// wasabistand.ErrInvalid for one that doesn't describe the instance.
func (t *Tracker) Heartbeat(now time.Time, r Report) error {
	if err := t.validate(r); err != nil {
		return err
	}
	if !t.state.Known {
		t.startIncarnation(now, r)
		return nil
	}
	switch newer, err := t.startsIncarnation(r); {
	case ErrDropped.Has(err):
		return t.recordOther(now, r, err)
	case err != nil:
		return err
	case newer:
		t.startIncarnation(now, r)
		return nil
	}
	t.other = candidate{}
	if r.Sequence <= t.state.Sequence {
		if r.Leaving && !t.state.Leaving {
			// A drain is final, so that it holds whenever it arrives.
			t.recordDrain(now)
			return nil
		}
		return t.staleError(r, "sequence: %d, report %d was already received", r.Sequence, t.state.Sequence)
	}
	if t.state.Leaving && !r.Leaving {
		return t.staleError(r, "instance %q already reported that it is leaving", r.ID)
	}
	if r.Leaving {
		t.recordDrain(now)
	}
	t.state.Report, t.state.ReportedAt = r, now
	t.state.coldUntil = now.Add(r.ColdRemaining)
	return nil
}

// staleError returns the error of a superseded report of the tracked incarnation.
func (t *Tracker) staleError(r Report, format string, args ...any) error {
	if r.Leaving == t.state.Leaving {
		return ErrStale.New(format, args...)
	}
	return ErrStale.Wrap(ErrDropped.New(format, args...))
}

// recordOther records a report of an incarnation that started before the tracked one. It
// takes the place of the tracked one once that is silent and the other goes on reporting.
// Otherwise recordOther returns refusal.
func (t *Tracker) recordOther(now time.Time, r Report, refusal error) error {
	o := &t.other
	switch {
	case o.reports == 0 || o.report.ID != r.ID || o.report.Born != r.Born:
		*o = candidate{report: r, reports: 1, since: now}
	case r.Sequence > o.report.Sequence:
		o.report, o.reports = r, o.reports+1
	default:
		return refusal
	}
	if !t.isSuperseded(now) {
		return refusal
	}
	t.startIncarnation(now, r)
	return nil
}

// isSuperseded reports whether the candidate takes the place of the tracked incarnation.
func (t *Tracker) isSuperseded(now time.Time) bool {
	return now.Sub(t.state.ReportedAt) >= supersedeAfter && t.other.reports >= minSupersedeReports && now.Sub(t.other.since) >= minSupersedeSpread
}

// validate checks that a report describes the tracked instance, within the limits
// that control instances accept. The error is of class wasabistand.ErrInvalid.
func (t *Tracker) validate(r Report) error {
	switch {
	case r.ID == "" || len(r.ID) > wasabiwire.MaxNameBytes || strings.ContainsFunc(r.ID, func(c rune) bool { return c <= ' ' || c > '~' }):
		return wasabistand.ErrInvalid.New("id: %.64q, allowed are 1 to %d visible ASCII characters", r.ID, wasabiwire.MaxNameBytes)
	case r.Service != t.service:
		return wasabistand.ErrInvalid.New("service: %.64q, allowed is %q", r.Service, t.service)
	case r.Address != t.address:
		return wasabistand.ErrInvalid.New("address: %.64q, allowed is %q", r.Address, t.address)
	case r.Born > maxBorn:
		return wasabistand.ErrInvalid.New("born: %d, allowed are up to %d", r.Born, uint64(maxBorn))
	case r.Slots < 1 || r.Slots > wasabiwire.MaxSlots:
		return wasabistand.ErrInvalid.New("slots: %d, allowed are 1 to %d", r.Slots, wasabiwire.MaxSlots)
	}
	return nil
}

// recordDrain records that the instance leaves.
func (t *Tracker) recordDrain(now time.Time) {
	if !t.state.Leaving {
		t.state.Leaving, t.state.LeavingSince = true, now
	}
}

// startsIncarnation reports whether a report is the first of a new incarnation. An
// instance gives its start in all reports or in none, so that those without one are of
// another sender if others had it. The error is of class ErrDropped for a report of an
// earlier incarnation, and of class wasabistand.ErrInvalid for one of another sender.
func (t *Tracker) startsIncarnation(r Report) (bool, error) {
	s := &t.state
	switch {
	case r.Born == 0 && s.Born != 0:
		return false, wasabistand.ErrInvalid.New("born: missing, the instance started at %d", s.Born)
	case r.Born != 0 && s.Born == 0 && !s.Deregistered:
		return true, nil
	case r.Born != 0 && s.Born != 0 && r.Born != s.Born:
		if r.Born < s.Born {
			return false, ErrStale.Wrap(ErrDropped.New("born: %d, a newer incarnation started at %d", r.Born, s.Born))
		}
		return true, nil
	}
	return r.ID != s.ID, nil
}

// startIncarnation replaces the state by that of a new incarnation.
func (t *Tracker) startIncarnation(now time.Time, r Report) {
	t.other = candidate{}
	t.state = State{Report: r, Known: true, Lifetime: t.state.Lifetime + 1, KnownSince: now, ReportedAt: now, coldUntil: now.Add(r.ColdRemaining)}
	if r.Leaving {
		t.state.LeavingSince = now
	}
}

// Deregister records that an instance deregistered. born is 0 when the instance
// omitted it. The error is of class ErrDropped if the deregistration is of an incarnation
// whose calls can't be told from those of the tracked one.
func (t *Tracker) Deregister(now time.Time, id string, born uint64) error {
	s := &t.state
	if !s.Known {
		// Keep the deregistration, so that a late heartbeat does not revoke it.
		t.state = State{Report: Report{ID: id, Born: born, Leaving: true, Service: t.service, Sequence: ^uint64(0)}, Known: true, Deregistered: true, Lifetime: 1, ReportedAt: now, LeavingSince: now}
		return nil
	}
	if t.other.report.ID == id && t.other.report.Born == born && t.isSuperseded(now) {
		t.startIncarnation(now, t.other.report)
	}
	switch {
	case s.ID != id:
		// No call is addressed to that instance.
		return nil
	case born != 0 && s.Born != 0 && born != s.Born:
		return ErrStale.Wrap(ErrDropped.New("born: %d, another incarnation started at %d", born, s.Born))
	}
	t.recordDrain(now)
	s.Sequence, s.Deregistered = ^uint64(0), true
	return nil
}

// Confirm records that the instance was asked and accepts calls. A response of another
// lifetime is ignored. A response that it accepts none is not recorded: it holds only for
// the moment, while the drain that a report announces is final.
func (t *Tracker) Confirm(lifetime int) {
	if t.state.Lifetime == lifetime {
		t.state.Confirmed = true
	}
}

// String returns the instance's ID and lifetime.
func (t *Tracker) String() string {
	return fmt.Sprintf("instance(%s, lifetime %d)", t.state.ID, t.state.Lifetime)
}
