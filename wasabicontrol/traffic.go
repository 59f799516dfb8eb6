package wasabicontrol

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// sentKind is the kind of a message that a control instance sends to nodes and to
// other control instances.
type sentKind int

const (
	sentConfiguration sentKind = iota
	sentInstances
	sentDigest
	sentRenewal
	sentMembers
	sentLog
	sentOther
	sentKinds
)

var sentKindNames = [sentKinds]string{"Configuration", "Instances", "Digest", "Renewal", "Members", "Log", "Other"}

// kindOf returns the kind of a message.
func kindOf(m proto.Message) sentKind {
	switch f := m.(type) {
	case *wasabistandv1.MemberSync:
		return sentMembers
	case *wasabistandv1.GroupFrame:
		return sentLog
	case *wasabistandv1.ControlFrame:
		switch k := f.GetKind().(type) {
		case *wasabistandv1.ControlFrame_Configuration:
			return sentConfiguration
		case *wasabistandv1.ControlFrame_Membership:
			if k.Membership.GetDigest() != 0 {
				return sentDigest
			}
			return sentInstances
		case *wasabistandv1.ControlFrame_Renewed:
			return sentRenewal
		}
	}
	return sentOther
}

// sentBytes counts the bytes and messages that a control instance sent, by kind.
// It is safe for concurrent use.
type sentBytes struct{ bytes, messages [sentKinds]atomic.Int64 }

func (b *sentBytes) add(k sentKind, size int) {
	b.bytes[k].Add(int64(size))
	b.messages[k].Add(1)
}

// log writes one line with the totals, the number of sessions, and how many of them
// are of nodes in other regions.
func (b *sentBytes) log(l *zerolog.Logger, sessions, remoteSessions int) {
	e := l.Info().Int("Sessions", sessions).Int("RemoteSessions", remoteSessions)
	for k, name := range sentKindNames {
		e = e.Int64(name+"Bytes", b.bytes[k].Load()).Int64(name+"Messages", b.messages[k].Load())
	}
	e.Msg("sent since the start")
}

var (
	descSentBytes    = prometheus.NewDesc("wasabi_control_sent_bytes_total", "Bytes sent to nodes and control instances, without the overhead of links.", []string{"kind"}, nil)
	descSentMessages = prometheus.NewDesc("wasabi_control_sent_messages_total", "Messages sent to nodes and control instances.", []string{"kind"}, nil)
)

func (b *sentBytes) collect(out chan<- prometheus.Metric) {
	for k, name := range sentKindNames {
		out <- prometheus.MustNewConstMetric(descSentBytes, prometheus.CounterValue, float64(b.bytes[k].Load()), name)
		out <- prometheus.MustNewConstMetric(descSentMessages, prometheus.CounterValue, float64(b.messages[k].Load()), name)
	}
}
