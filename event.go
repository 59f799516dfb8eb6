package wasabistand

import (
	"cmp"
	"time"
)

// HybridTime is a timestamp of a hybrid logical clock.
type HybridTime struct {
	WallUnixNano int64
	Logical      uint32
}

// Compare orders timestamps.
func (t HybridTime) Compare(u HybridTime) int {
	if c := cmp.Compare(t.WallUnixNano, u.WallUnixNano); c != 0 {
		return c
	}
	return cmp.Compare(t.Logical, u.Logical)
}

// Time returns the wall clock part of the timestamp.
func (t HybridTime) Time() time.Time { return time.Unix(0, t.WallUnixNano) }

// EventKind is the kind of an event. Its text is a stable identifier.
type EventKind string

// The kinds of events.
const (
	EventCallAdmitted    EventKind = "call.admitted"
	EventCallRefused     EventKind = "call.refused"
	EventCallRetried     EventKind = "call.retried"
	EventCallAnswered    EventKind = "call.answered"
	EventCallUnknown     EventKind = "call.unknown"
	EventCallCancelled   EventKind = "call.cancelled"
	EventClaimTaken      EventKind = "claim.taken"
	EventClaimSettled    EventKind = "claim.settled"
	EventLevelChanged    EventKind = "level.changed"
	EventLimitChanged    EventKind = "limit.changed"
	EventInstanceEjected EventKind = "instance.ejected"
	EventInstanceState   EventKind = "instance.state"
	EventConfigCommitted EventKind = "config.accepted"
	EventConfigReceived  EventKind = "config.received"
	EventConfigRefused   EventKind = "config.refused"
	EventConfigApplied   EventKind = "config.in_force"
	EventLinkUp          EventKind = "link.up"
	EventLinkSilent      EventKind = "link.silent"
	EventSessionUp       EventKind = "session.up"
	EventSessionDown     EventKind = "session.down"
	EventListsResent     EventKind = "lists.requested"
	EventGroupLeader     EventKind = "group.leader"
	EventGroupMembers    EventKind = "group.members"
	EventDiskRefused     EventKind = "disk.refused"
	EventDiskAccepted    EventKind = "disk.accepted"
	EventLeaseExpired    EventKind = "lease.expired"
	EventShutdown        EventKind = "shutdown"
)

// EventFieldAt is the first field of an event of a call at its entry node; its value
// is EventAtEntry. Events of the upstream's node don't have it.
const (
	EventFieldAt = "At"
	EventAtEntry = "entry"
)

// Event is one entry in the event timeline.
type Event struct {
	// Time is set by the recorder when zero.
	Time HybridTime
	// Instance identifies the process; it is set by the recorder when empty.
	Instance  string
	Kind      EventKind
	RequestID string
	Service   string
	Call      string
	Caller    string
	Reason    Reason
	Fields    []HeaderField
}
