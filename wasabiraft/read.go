package wasabiraft

import (
	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// pendingRead waits until a quorum confirms that this replica still led after
// the read was asked for.
type pendingRead struct {
	id       uint64
	from     string // empty for this replica
	sequence uint64
	index    uint64
}

// Read asks for the index that a linearizable read must wait for. Ready
// returns it under the same ID, unless messages are lost or the leader
// changes: then the read is asked for again.
func (r *Replica) Read() (id uint64, err error) {
	// Random, so that a late answer to an earlier process under this name
	// answers nothing.
	id = r.random.Uint64()
	switch {
	case r.role == Leader:
		if !r.acceptRead(pendingRead{id: id}) {
			return 0, wasabistand.ErrNotConfirmed.New("%d reads are waiting: no more are allowed", r.settings.MaxReads)
		}
	case r.leader != "":
		m := r.make(wasabistandv1.GroupMessage_KIND_READ, r.leader)
		m.ReadSequence = id
		r.sendNow(m)
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
	if len(r.reads)+len(r.earlyReads) >= r.settings.MaxReads {
		return false
	}
	if !r.committedInTerm() && !r.broken.readUnconfirmed {
		// Until an entry of this term is committed, entries of earlier terms
		// may be committed that are not known to be.
		r.earlyReads = append(r.earlyReads, q)
		return true
	}
	r.startRead(q)
	return true
}

func (r *Replica) startRead(q pendingRead) {
	r.readSequence++
	q.sequence, q.index = r.readSequence, r.log.commit
	r.reads = append(r.reads, q)
	r.askQuorum = true
	r.confirmReads()
}

// confirmReads answers the reads that a quorum has confirmed.
func (r *Replica) confirmReads() {
	done := r.quorumValue(func(m *member) uint64 {
		if m.GetId() == r.self.ID {
			return r.readSequence
		}
		return r.progress[m.GetId()].readAck
	})
	if r.broken.readUnconfirmed {
		done = r.readSequence
	}
	for len(r.reads) > 0 && r.reads[0].sequence <= done {
		q := r.reads[0]
		r.reads = r.reads[1:]
		if q.from == "" {
			r.confirmed = append(r.confirmed, Read{ID: q.id, Index: q.index})
			continue
		}
		m := r.make(wasabistandv1.GroupMessage_KIND_READ_RESPONSE, q.from)
		m.ReadSequence, m.CommitIndex = q.id, q.index
		r.sendNow(m)
	}
}
