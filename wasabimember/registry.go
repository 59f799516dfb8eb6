package wasabimember

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Registry holds the instances known to one control instance: its own and those
// received from other control instances. It must be called from one goroutine.
type Registry struct {
	options Options
	local   *memberList
	remote  map[sourceKey]*memberList
	// dirty and dirtyRevisions are the IDs of local instances that changed
	// since the last broadcast by BuildSync; those in dirtyRevisions changed
	// only in their applied revision.
	dirty          map[string]struct{}
	dirtyRevisions map[string]struct{}
	// wantFull holds the sources whose full lists the messages of BuildSync
	// request.
	wantFull map[string]struct{}
	// fullRequested is true if a source requested the full local list.
	fullRequested bool

	services map[string]*service
	// listedService maps the ID of a listed instance to its service.
	listedService map[string]string
	versionBase   uint64
	version       uint64
	firstTick     time.Time
}

type sourceKey struct {
	source string
	epoch  uint64
}

// New returns an empty registry.
func New(o Options) *Registry {
	// Versions of different processes differ in their upper half, so that a
	// node with a version of another control instance gets the full list.
	epoch := binary.AppendUvarint([]byte(o.source), o.epoch)
	base := (xxhash.Sum64(epoch) | 1<<32) &^ (1<<32 - 1)
	return &Registry{
		options:        o,
		local:          newMemberList(o.source, o.epoch),
		remote:         make(map[sourceKey]*memberList),
		dirty:          make(map[string]struct{}),
		dirtyRevisions: make(map[string]struct{}),
		wantFull:       make(map[string]struct{}),
		services:       make(map[string]*service),
		listedService:  make(map[string]string),
		versionBase:    base,
		version:        base | 1,
	}
}

// String returns a short description of the registry.
func (r *Registry) String() string {
	return fmt.Sprintf("member(%s, %d instances)", r.options.source, len(r.listedService))
}

// Announce records the announcement of an instance and renews its lease. The
// errors are of the classes wasabistand.ErrInvalid, ErrDuplicate, ErrStale and
// ErrFull.
func (r *Registry) Announce(now time.Time, i wasabistand.Instance) error {
	if err := validateInstance(i); err != nil {
		return err
	}
	// These are not set by the instance.
	i.Drained, i.Suspect = false, false
	known, holder := r.bestEntry(i.ID)
	if known != nil {
		leaseValid := holder.effectiveState(known) >= leaseOverdue && (holder != r.local || now.Sub(known.renewedAt) < r.options.lease)
		if err := checkReplacement(i, known, leaseValid); err != nil {
			return err
		}
	}
	if r.local.entries[i.ID] == nil && len(r.local.entries) >= r.options.maxInstances {
		return ErrFull.New("%d instances, allowed are %d", len(r.local.entries), r.options.maxInstances)
	}
	if r.services[i.Service] == nil && len(r.services) >= r.options.maxServices {
		return ErrFull.New("%d services, allowed are %d", len(r.services), r.options.maxServices)
	}
	if old := r.local.entries[i.ID]; old != nil && old.instance == i && old.state == leaseHeld {
		old.renewedAt, old.connected = now, true
		return nil
	}
	r.local.put(&entry{instance: i, state: leaseHeld, renewedAt: now, connected: true})
	r.markDirty(i.ID)
	return nil
}

// Known returns the incarnation and the sequence of an instance's latest announcement, 0
// for an instance that is not known.
func (r *Registry) Known(id string) (incarnation, sequence uint64) {
	known, _ := r.bestEntry(id)
	if known == nil {
		return 0, 0
	}
	return known.instance.Incarnation, known.instance.Sequence
}

// checkReplacement returns an error if an announcement must not replace the
// known one. leaseValid is true if the lease of the known one has not expired.
func checkReplacement(i wasabistand.Instance, known *entry, leaseValid bool) error {
	k := known.instance
	if i.Incarnation != k.Incarnation {
		if leaseValid && i.LinkAddress != k.LinkAddress {
			return ErrDuplicate.New("id: %q is held by %s since %d", i.ID, k.LinkAddress, k.Incarnation)
		}
		if i.Incarnation < k.Incarnation {
			return ErrStale.New("incarnation: %d, allowed are %d and higher", i.Incarnation, k.Incarnation)
		}
		return nil
	}
	if i.Service != k.Service {
		return wasabistand.ErrInvalid.New("service: %q, allowed in this incarnation is %q", i.Service, k.Service)
	}
	if k.State == wasabistand.Leaving && i.State != wasabistand.Leaving {
		return wasabistand.ErrInvalid.New("state: %s, allowed in this incarnation is %s", i.State, k.State)
	}
	if i.Sequence < k.Sequence {
		return ErrStale.New("sequence: %d, allowed are %d and higher", i.Sequence, k.Sequence)
	}
	if i.Sequence == k.Sequence {
		i.AppliedRevision = k.AppliedRevision
		departed := k.State == wasabistand.Leaving && known.state == leaseExpired
		if i != k || departed {
			return ErrStale.New("sequence: %d was used, allowed are higher ones", i.Sequence)
		}
	}
	return nil
}

func validateInstance(i wasabistand.Instance) error {
	_, err := wasabiwire.ToInstance(wasabiwire.FromInstance(i))
	if err == nil {
		_, err = netip.ParseAddrPort(i.LinkAddress)
	}
	return err
}

// Renew renews the lease of an announced instance. The errors are of the
// classes ErrUnknown, after which the instance must announce itself, and
// ErrStale.
func (r *Registry) Renew(now time.Time, id string, incarnation, sequence, appliedRevision uint64) error {
	e := r.local.entries[id]
	renewal := wasabistand.Instance{Incarnation: incarnation, Sequence: sequence}
	if e == nil || compareAnnouncements(renewal, e.instance) != 0 || !e.connected {
		if known, _ := r.bestEntry(id); known != nil && compareAnnouncements(renewal, known.instance) < 0 {
			return ErrStale.New("id: %q has announced incarnation %d, sequence %d", id, known.instance.Incarnation, known.instance.Sequence)
		}
		return ErrUnknown.New("id: %q has not announced sequence %d here", id, sequence)
	}
	e.renewedAt = now
	if e.state != leaseHeld {
		e.state, e.expiredAt, e.inMassExpiry = leaseHeld, time.Time{}, false
		r.local.updateDigest(e)
		r.markDirty(id)
	}
	if appliedRevision > e.instance.AppliedRevision {
		e.instance.AppliedRevision = appliedRevision
		r.local.updateDigest(e)
		r.dirtyRevisions[id] = struct{}{}
	}
	return nil
}

// Disconnect records that the session of an announcement ended. An instance
// that announced that it is leaving is removed; others stay until the lease
// expires.
func (r *Registry) Disconnect(now time.Time, id string, incarnation, sequence uint64) {
	e := r.local.entries[id]
	if e == nil || e.instance.Incarnation != incarnation || e.instance.Sequence != sequence {
		return
	}
	e.connected = false
	if e.instance.State == wasabistand.Leaving && e.state != leaseExpired {
		r.expireLease(e, now)
	}
}

func (r *Registry) expireLease(e *entry, at time.Time) {
	e.state, e.expiredAt = leaseExpired, at
	r.local.updateDigest(e)
	r.markDirty(e.instance.ID)
}

// markDirty records a change of the local list for the next sync message and
// updates how the instance is listed.
func (r *Registry) markDirty(id string) {
	r.dirty[id] = struct{}{}
	r.refresh(id)
}

// HasPendingChanges reports whether the local list has changes since the last
// broadcast by BuildSync that should be sent to other control instances at once.
func (r *Registry) HasPendingChanges() bool { return len(r.dirty) > 0 }

// IsWarmedUp reports whether a lease time has passed since the first Tick. Until
// then, the list of a control instance that just started may be incomplete, and
// nodes should keep the lists that they have.
func (r *Registry) IsWarmedUp(now time.Time) bool {
	return !r.firstTick.IsZero() && now.Sub(r.firstTick) >= r.options.lease
}
