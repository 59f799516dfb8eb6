// Package wasabiwire converts values of the root package to and from protobuf
// messages. It validates values received from peers.
package wasabiwire

import (
	"net/netip"
	"time"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Limits on the instances that peers announce.
const (
	MaxNameBytes   = 128
	MaxSlots       = 100_000
	MaxConnections = 1_000_000
)

// FromHybridTime converts t to its message.
func FromHybridTime(t wasabistand.HybridTime) *wasabistandv1.HybridTime {
	return &wasabistandv1.HybridTime{WallUnixNs: t.WallUnixNano, Logical: t.Logical}
}

// ToHybridTime converts t from its message. It converts nil to the zero time.
func ToHybridTime(t *wasabistandv1.HybridTime) wasabistand.HybridTime {
	return wasabistand.HybridTime{WallUnixNano: t.GetWallUnixNs(), Logical: t.GetLogical()}
}

// FromInstance converts i to its message.
func FromInstance(i wasabistand.Instance) *wasabistandv1.Instance {
	return &wasabistandv1.Instance{
		Id:              i.ID,
		Incarnation:     i.Incarnation,
		Sequence:        i.Sequence,
		Service:         i.Service,
		LinkAddress:     i.LinkAddress,
		AdminAddress:    i.AdminAddress,
		Region:          i.Location.Region,
		FailureDomain:   i.Location.FailureDomain,
		Slots:           uint32(i.Slots),
		Connections:     uint32(i.Connections),
		State:           wasabistandv1.InstanceState(i.State),
		Drained:         i.Drained,
		Suspect:         i.Suspect,
		RevisionInForce: i.AppliedRevision,
	}
}

// ToInstance validates and converts an announced instance. Its errors are of the
// class wasabistand.ErrInvalid and contain the name of the invalid field.
func ToInstance(m *wasabistandv1.Instance) (wasabistand.Instance, error) {
	for _, f := range []struct{ name, value string }{
		{"id", m.GetId()},
		{"service", m.GetService()},
		{"region", m.GetRegion()},
		{"failure_domain", m.GetFailureDomain()},
	} {
		if f.value == "" || len(f.value) > MaxNameBytes {
			return wasabistand.Instance{}, wasabistand.ErrInvalid.New("%s: %d bytes, allowed are 1 to %d", f.name, len(f.value), MaxNameBytes)
		}
	}
	if a, err := netip.ParseAddrPort(m.GetLinkAddress()); err != nil || a.Port() == 0 {
		return wasabistand.Instance{}, wasabistand.ErrInvalid.New("link_address: %q, allowed is IP:port", m.GetLinkAddress())
	}
	if a := m.GetAdminAddress(); a != "" {
		if p, err := netip.ParseAddrPort(a); err != nil || p.Port() == 0 {
			return wasabistand.Instance{}, wasabistand.ErrInvalid.New("admin_address: %q, allowed is IP:port", a)
		}
	}
	if n := m.GetSlots(); n < 1 || n > MaxSlots {
		return wasabistand.Instance{}, wasabistand.ErrInvalid.New("slots: %d, allowed are 1 to %d", n, MaxSlots)
	}
	if n := m.GetConnections(); n < 1 || n > MaxConnections {
		return wasabistand.Instance{}, wasabistand.ErrInvalid.New("connections: %d, allowed are 1 to %d", n, MaxConnections)
	}
	if s := m.GetState(); s < wasabistandv1.InstanceState_INSTANCE_STATE_COLD || s > wasabistandv1.InstanceState_INSTANCE_STATE_LEAVING {
		return wasabistand.Instance{}, wasabistand.ErrInvalid.New("state: %d, allowed are 1 to 3", s)
	}
	return wasabistand.Instance{
		ID:              m.GetId(),
		Incarnation:     m.GetIncarnation(),
		Sequence:        m.GetSequence(),
		Service:         m.GetService(),
		LinkAddress:     m.GetLinkAddress(),
		AdminAddress:    m.GetAdminAddress(),
		Location:        wasabistand.Location{Region: m.GetRegion(), FailureDomain: m.GetFailureDomain()},
		Slots:           int(m.GetSlots()),
		Connections:     int(m.GetConnections()),
		State:           wasabistand.InstanceState(m.GetState()),
		Drained:         m.GetDrained(),
		Suspect:         m.GetSuspect(),
		AppliedRevision: m.GetRevisionInForce(),
	}, nil
}

// FromImportance converts i to its enum value.
func FromImportance(i wasabistand.Importance) wasabistandv1.Importance {
	return wasabistandv1.Importance(i)
}

// ToImportance converts m from its enum value. It converts an invalid value to
// the lowest importance, so that a faulty peer gains no priority.
func ToImportance(m wasabistandv1.Importance) wasabistand.Importance {
	if i := wasabistand.Importance(m); m > 0 && m <= wasabistandv1.Importance_IMPORTANCE_CRITICAL && i.Valid() {
		return i
	}
	return wasabistand.Low
}

// FromLoad converts l to its message. Negative values become 0.
func FromLoad(l wasabistand.Load) *wasabistandv1.Load {
	return &wasabistandv1.Load{
		Level:      FromImportance(l.Level),
		LevelBelow: FromImportance(l.DownstreamLevel),
		Running:    uint32(max(l.Running, 0)),
		Waiting:    uint32(max(l.Waiting, 0)),
		Limit:      uint32(max(l.Limit, 0)),
		Leaving:    l.Leaving,
		ServiceUs:  uint64(max(l.ServiceTime.Microseconds(), 0)),
	}
}

// ToLoad converts m from its message. It returns nil for nil.
func ToLoad(m *wasabistandv1.Load) *wasabistand.Load {
	if m == nil {
		return nil
	}
	return &wasabistand.Load{
		Level:           ToImportance(m.Level),
		DownstreamLevel: ToImportance(m.LevelBelow),
		Running:         int(m.Running),
		Waiting:         int(m.Waiting),
		Limit:           int(m.Limit),
		Leaving:         m.Leaving,
		ServiceTime:     time.Duration(min(m.ServiceUs, maxServiceUs)) * time.Microsecond,
	}
}

// maxServiceUs bounds a received service time, in microseconds. It is longer
// than any call can take.
const maxServiceUs = uint64(time.Hour / time.Microsecond)

// FromHeaders converts header fields to their messages.
func FromHeaders(list []wasabistand.HeaderField) []*wasabistandv1.Header {
	out := make([]*wasabistandv1.Header, len(list))
	for i, h := range list {
		out[i] = &wasabistandv1.Header{Name: h.Name, Value: h.Value}
	}
	return out
}

// ToHeaders converts header fields from their messages.
func ToHeaders(list []*wasabistandv1.Header) []wasabistand.HeaderField {
	out := make([]wasabistand.HeaderField, len(list))
	for i, h := range list {
		out[i] = wasabistand.HeaderField{Name: h.GetName(), Value: h.GetValue()}
	}
	return out
}

// FromRecordedResponse converts r to its message. It returns nil for nil.
func FromRecordedResponse(r *wasabistand.RecordedResponse) *wasabistandv1.RecordedAnswer {
	if r == nil {
		return nil
	}
	return &wasabistandv1.RecordedAnswer{Status: uint32(r.Status), Headers: FromHeaders(r.Headers), Body: r.Body, BodyOmitted: r.BodyOmitted}
}

// ToRecordedResponse converts m from its message. It returns nil for nil.
func ToRecordedResponse(m *wasabistandv1.RecordedAnswer) *wasabistand.RecordedResponse {
	if m == nil {
		return nil
	}
	return &wasabistand.RecordedResponse{Status: int(m.Status), Headers: ToHeaders(m.Headers), Body: m.Body, BodyOmitted: m.BodyOmitted}
}

// FromEvent converts e to its message.
func FromEvent(e wasabistand.Event) *wasabistandv1.Event {
	m := &wasabistandv1.Event{
		Time:      FromHybridTime(e.Time),
		Instance:  e.Instance,
		Kind:      string(e.Kind),
		RequestId: e.RequestID,
		Service:   e.Service,
		Call:      e.Call,
		Caller:    e.Caller,
		Reason:    string(e.Reason),
	}
	if len(e.Fields) > 0 {
		m.Fields = make(map[string]string, len(e.Fields))
		for _, f := range e.Fields {
			m.Fields[f.Name] = f.Value
		}
	}
	return m
}

// ToEvent converts m from its message.
func ToEvent(m *wasabistandv1.Event) wasabistand.Event {
	e := wasabistand.Event{
		Time:      ToHybridTime(m.GetTime()),
		Instance:  m.GetInstance(),
		Kind:      wasabistand.EventKind(m.GetKind()),
		RequestID: m.GetRequestId(),
		Service:   m.GetService(),
		Call:      m.GetCall(),
		Caller:    m.GetCaller(),
		Reason:    wasabistand.Reason(m.GetReason()),
	}
	for k, v := range m.GetFields() {
		e.Fields = append(e.Fields, wasabistand.HeaderField{Name: k, Value: v})
	}
	return e
}

// ToTime converts a Unix time in milliseconds from a message. It converts 0 to
// the zero time.
func ToTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
