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

// Registry keeps the instances that one control instance knows. Its owner
// calls it from one goroutine.
type Registry struct {
	options Options
	local   *list
	remote  map[sourceKey]*list
	// dirty and dirtyRevisions name instances of the own list that changed
	// since the last Sync; the latter only in their revision in force.
	dirty          map[string]struct{}
	dirtyRevisions map[string]struct{}
	wanted         map[string]struct{}
	fullDue        bool

	services map[string]*service
	// listed is the service under which an instance is listed.
	listed  map[string]string
	base    uint64
	version uint64
	started time.Time
}

type sourceKey struct {
	source string
	epoch  uint64
}

// New returns an empty registry.
func New(o Options) *Registry {
	// Versions of different processes differ in their upper half, so that a
	// node that brings a version from elsewhere gets the full list.
	epoch := binary.AppendUvarint([]byte(o.source), o.epoch)
	base := (xxhash.Sum64(epoch) | 1<<32) &^ (1<<32 - 1)
	return &Registry{
		options:        o,
		local:          newList(o.source, o.epoch),
		remote:         make(map[sourceKey]*list),
		dirty:          make(map[string]struct{}),
		dirtyRevisions: make(map[string]struct{}),
		wanted:         make(map[string]struct{}),
		services:       make(map[string]*service),
		listed:         make(map[string]string),
		base:           base,
		version:        base | 1,
	}
}

// String names the implementation.
func (r *Registry) String() string {
	return fmt.Sprintf("member(%s, %d instances)", r.options.source, len(r.listed))
}

// Announce records what an instance says of itself and renews its lease. The
// errors are of the classes wasabistand.ErrInvalid, ErrDuplicate, ErrStale and
// ErrFull.
func (r *Registry) Announce(now time.Time, i wasabistand.Instance) error {
	if err := check(i); err != nil {
		return err
	}
	// An instance doesn't decide about these.
	i.Drained, i.Suspect = false, false
	known, holder := r.best(i.ID)
	if known != nil {
		fresh := holder.stateOf(known) >= leaseLate && (holder != r.local || now.Sub(known.renewed) < r.options.lease)
		if err := admit(i, known, fresh); err != nil {
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
		old.renewed, old.connected = now, true
		return nil
	}
	r.local.put(&entry{instance: i, state: leaseHeld, renewed: now, connected: true})
	r.touch(i.ID)
	return nil
}

// admit decides whether an announcement may replace the known one. fresh says
// that the lease of the known one has not run out.
func admit(i wasabistand.Instance, known *entry, fresh bool) error {
	k := known.instance
	if i.Incarnation != k.Incarnation {
		if fresh && i.LinkAddress != k.LinkAddress {
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
		i.RevisionInForce = k.RevisionInForce
		left := k.State == wasabistand.Leaving && known.state == leaseLapsed
		if i != k || left {
			return ErrStale.New("sequence: %d was used, allowed are higher ones", i.Sequence)
		}
	}
	return nil
}

func check(i wasabistand.Instance) error {
	_, err := wasabiwire.ToInstance(wasabiwire.FromInstance(i))
	if err == nil {
		_, err = netip.ParseAddrPort(i.LinkAddress)
	}
	return err
}

// Renew renews the lease of an announced instance. The errors are of the
// classes ErrUnknown, after which the instance announces itself, and ErrStale.
func (r *Registry) Renew(now time.Time, id string, incarnation, sequence, revisionInForce uint64) error {
	e := r.local.entries[id]
	asked := wasabistand.Instance{Incarnation: incarnation, Sequence: sequence}
	if e == nil || compareAnnounced(asked, e.instance) != 0 || !e.connected {
		if known, _ := r.best(id); known != nil && compareAnnounced(asked, known.instance) < 0 {
			return ErrStale.New("id: %q has announced incarnation %d, sequence %d", id, known.instance.Incarnation, known.instance.Sequence)
		}
		return ErrUnknown.New("id: %q has not announced sequence %d here", id, sequence)
	}
	e.renewed = now
	if e.state != leaseHeld {
		e.state, e.lapsed, e.confirmed = leaseHeld, time.Time{}, false
		r.local.changed(e)
		r.touch(id)
	}
	if revisionInForce > e.instance.RevisionInForce {
		e.instance.RevisionInForce = revisionInForce
		r.local.changed(e)
		r.dirtyRevisions[id] = struct{}{}
	}
	return nil
}

// Disconnect says that the session of an announcement ended. An instance that
// announced that it leaves is removed; others stay until the lease runs out.
func (r *Registry) Disconnect(now time.Time, id string, incarnation, sequence uint64) {
	e := r.local.entries[id]
	if e == nil || e.instance.Incarnation != incarnation || e.instance.Sequence != sequence {
		return
	}
	e.connected = false
	if e.instance.State == wasabistand.Leaving && e.state != leaseLapsed {
		r.lapse(e, now)
	}
}

func (r *Registry) lapse(e *entry, at time.Time) {
	e.state, e.lapsed = leaseLapsed, at
	r.local.changed(e)
	r.touch(e.instance.ID)
}

// touch notes a change of the own list.
func (r *Registry) touch(id string) {
	r.dirty[id] = struct{}{}
	r.refresh(id)
}

// Pending reports whether the own list changed since the last Sync in a way
// that others should learn at once.
func (r *Registry) Pending() bool { return len(r.dirty) > 0 }

// Warm reports whether a lease time has passed since the first Tick. Before,
// the instances of a just started control instance are not complete, and
// nodes should keep the lists that they have.
func (r *Registry) Warm(now time.Time) bool {
	return !r.started.IsZero() && now.Sub(r.started) >= r.options.lease
}
