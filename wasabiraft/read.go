package wasabiraft

import (
	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// pendingRead is a read that waits until a quorum confirms that this replica was
// still the leader after the read was requested.
type pendingRead struct {
	id       uint64
	from     string // empty for this replica
	sequence uint64
	index    uint64
}

// Read requests the index that a linearizable read must wait for. Ready returns
// it with the same ID unless messages are lost or the leader changes. The caller
// must then retry.
func (r *Replica) Read() (id uint64, err error) {
	// The ID is random, so that a delayed response to an earlier process of this
	// member matches no read.
	id = r.random.Uint64()
	switch {
	case r.role == Leader:
		if !r.acceptRead(pendingRead{id: id}) {
			return 0, wasabistand.ErrNotConfirmed.New("%d reads are waiting: no more are allowed", r.settings.MaxReads)
		}
	case r.leader != "":
		m := r.make(wasabistandv1.GroupMessage_KIND_READ, r.leader)
		m.ReadSequence = id
		r.sendBeforeSync(m)
	default:
		return 0, wasabistand.ErrNotConfirmed.New("no leader is known")
	}
	return id, nil
}

func (r *Replica) stepRead(m *message) {
	if r.role == Leader {
		r.acceptRead(pendingRead{id: m.GetReadSequence(), from: m.GetFrom()})
	}
}

func (r *Replica) acceptRead(q pendingRead) bool {
	if len(r.reads)+len(r.deferredReads) >= r.settings.MaxReads {
		return false
	}
	if !r.hasCommittedInTerm() && !r.unsafe.readUnconfirmed {
		// Until an entry of this term is committed, the commit index may be
		// behind entries of earlier terms that are already committed.
		r.deferredReads = append(r.deferredReads, q)
		return true
	}
	r.startRead(q)
	return true
}

func (r *Replica) startRead(q pendingRead) {
	r.readSequence++
	q.sequence, q.index = r.readSequence, r.log.commit
	r.reads = append(r.reads, q)
	r.heartbeatRequested = true
	r.confirmReads()
}

// confirmReads completes the reads that a quorum has confirmed.
func (r *Replica) confirmReads() {
	confirmed := r.quorumValue(func(m *member) uint64 {
		if m.GetId() == r.self.ID {
			return r.readSequence
		}
		return r.progress[m.GetId()].readAck
	})
	if r.unsafe.readUnconfirmed {
		confirmed = r.readSequence
	}
	for len(r.reads) > 0 && r.reads[0].sequence <= confirmed {
		q := r.reads[0]
		r.reads = r.reads[1:]
		if q.from == "" {
			r.confirmedReads = append(r.confirmedReads, Read{ID: q.id, Index: q.index})
			continue
		}
		m := r.make(wasabistandv1.GroupMessage_KIND_READ_RESPONSE, q.from)
		m.ReadSequence, m.CommitIndex = q.id, q.index
		r.sendBeforeSync(m)
	}
}
