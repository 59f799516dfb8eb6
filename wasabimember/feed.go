package wasabimember

import (
	"encoding/binary"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Feed tracks what one node has of the list of one service. It is an immutable
// value. It answers the load of a restart or a loss of control instances, after
// which all nodes subscribe within seconds while all instances announce themselves:
// each node is sent each entry once, and a node that has the list already is sent
// its digest only.
type Feed struct {
	// complete is the version of the complete list that the node was sent, 0 for
	// none.
	complete uint64
	// partial is the version of the incomplete list that the node was sent.
	partial uint64
	// hasList is true if the node has entries that may already be the complete list.
	hasList bool
}

// NewFeed returns the feed of a node that has a version of the complete list, 0 for
// none. hasList is true if it has the list of another control instance.
func NewFeed(version uint64, hasList bool) Feed { return Feed{complete: version, hasList: hasList} }

// Version returns the version of the complete list that the node was sent, 0 for none.
func (f Feed) Version() uint64 { return f.complete }

// VersionsDigest returns a hash of the versions of lists by service, in any order. Lists
// with version 0 don't count. It is never 0.
func VersionsDigest(versions iter.Seq2[string, uint64]) uint64 {
	var sum uint64
	var buffer [256]byte
	for service, version := range versions {
		if version != 0 {
			sum += xxhash.Sum64(append(binary.AppendUvarint(buffer[:0], version), service...))
		}
	}
	return max(sum, 1)
}

// Update returns what a node must be sent of a service's list, nil if nothing, and
// its feed after that. complete is true if the registry knows all instances; until
// then the node is only sent additions to the list that it has, and instances that
// leave.
func (r *Registry) Update(service string, f Feed, complete bool) (*wasabistandv1.MembershipDelta, Feed) {
	switch version := r.Version(service); {
	case !complete:
		d := r.Delta(service, max(f.complete, f.partial))
		f.partial = version
		if d == nil {
			return nil, f
		}
		d.Removes = r.leaving(service, d)
		if len(d.GetUpserts()) == 0 && len(d.GetRemoves()) == 0 {
			return nil, f
		}
		d.Partial, d.BaseVersion, f.hasList = true, 0, true
		return d, f
	case f.complete == 0 && f.hasList:
		return &wasabistandv1.MembershipDelta{Service: service, Version: version, Digest: r.listDigest(service)}, Feed{complete: version}
	default:
		return r.Delta(service, f.complete), Feed{complete: version}
	}
}

// leaving returns the instances of an incomplete list that announced that they leave:
// all of them for a whole list, or those among the removed ones. Other removed ones may
// be known to other control instances.
func (r *Registry) leaving(service string, d *wasabistandv1.MembershipDelta) []string {
	s := r.services[service]
	if s == nil {
		return nil
	}
	candidates := d.GetRemoves()
	if d.GetBaseVersion() == 0 {
		candidates = slices.Sorted(maps.Keys(s.members))
	}
	return slices.DeleteFunc(candidates, func(id string) bool { m := s.members[id]; return m == nil || m.isListed() })
}

// listDigest returns the digest of a service's list.
func (r *Registry) listDigest(service string) uint64 {
	s := r.services[service]
	if s == nil {
		return Digest(nil)
	}
	if s.digestVersion != s.version {
		list := make(map[string]wasabistand.Instance, len(s.members))
		for id, m := range s.members {
			if m.isListed() {
				list[id] = m.published
			}
		}
		s.digest, s.digestVersion = Digest(list), s.version
	}
	return s.digest
}

// Digest returns a hash of a list of instances by ID, as sent to nodes. It is never
// 0.
func Digest(list map[string]wasabistand.Instance) uint64 {
	h := xxhash.New()
	var buffer [512]byte
	for _, id := range slices.Sorted(maps.Keys(list)) {
		i := list[id]
		b := appendIdentity(buffer[:0], &i)
		b = binary.AppendUvarint(b, i.Incarnation)
		b = binary.AppendUvarint(b, uint64(i.Slots))
		b = binary.AppendUvarint(b, uint64(i.Connections))
		b = append(b, byte(i.State))
		// The length keeps adjacent entries apart.
		b = binary.AppendUvarint(b, uint64(len(b)))
		_, _ = h.Write(b)
	}
	return max(h.Sum64(), 1)
}
