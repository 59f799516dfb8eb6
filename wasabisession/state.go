package wasabisession

import (
	"maps"
	"slices"
	"strconv"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// state is what control told the node. Session.run owns it; the maps and
// slices in instances are replaced and never changed, as views share them.
type state struct {
	self      string
	received  bool
	revision  uint64 // the latest accepted; never falls
	inForce   uint64 // the latest whose document is in force
	document  uint64 // the revision of the latest document
	broken    bool   // the latest document did not parse
	contracts *wasabistand.Contracts
	drained   map[string]bool
	homes     map[string][]string
	all       []string
	regions   map[string][]string
	raw       map[string]map[string]wasabistand.Instance
	instances map[string][]wasabistand.Instance
	versions  map[string]uint64
	dirty     bool
}

func newState(self string) state {
	return state{
		self: self, contracts: wasabiconfig.Default(), raw: map[string]map[string]wasabistand.Instance{},
		instances: map[string][]wasabistand.Instance{}, versions: map[string]uint64{},
	}
}

// configure takes a configuration that is not older than the one in force.
// When its document does not parse, the former contracts stay in force.
func (s *state) configure(u *wasabistandv1.ConfigurationUpdate) (err error) {
	if u.GetDocumentRevision() > s.document && u.GetToml() != "" {
		var c *wasabistand.Contracts
		if c, err = wasabiconfig.Parse([]byte(u.GetToml())); err == nil {
			s.contracts = c
		}
		s.document, s.broken = u.GetDocumentRevision(), err != nil
	}
	s.received, s.dirty, s.revision = true, true, u.GetRevision()
	if !s.broken {
		s.inForce = s.revision
	}
	drained := make(map[string]bool, len(u.GetDrained()))
	for _, id := range u.GetDrained() {
		drained[id] = true
	}
	if !maps.Equal(drained, s.drained) {
		s.drained = drained
		for service := range s.raw {
			s.build(service)
		}
	}
	s.homes = lists(u.GetClaimHomes())
	s.regions = lists(u.GetControlRegions())
	s.all = u.GetControlAddresses()
	return err
}

func lists(m map[string]*wasabistandv1.AddressList) map[string][]string {
	out := make(map[string][]string, len(m))
	for k, v := range m {
		out[k] = v.GetAddresses()
	}
	return out
}

// controls returns the control addresses of a region and all of them.
func (s *state) controls(region string) (own, all []string) { return s.regions[region], s.all }

// resetVersions forgets the versions of lists, which belong to one control
// instance. The lists stay until full ones replace them.
func (s *state) resetVersions() { clear(s.versions) }

// change takes a delta and reports whether it fits the list that is held.
// Entries that are not valid are left out.
func (s *state) change(d *wasabistandv1.MembershipDelta) bool {
	service := d.GetService()
	if d.GetPartial() {
		s.merge(d)
		return true
	}
	if d.GetBaseVersion() != 0 && d.GetBaseVersion() != s.versions[service] {
		delete(s.versions, service)
		return false
	}
	if d.GetBaseVersion() == 0 || s.raw[service] == nil {
		s.raw[service] = make(map[string]wasabistand.Instance, len(d.GetUpserts()))
	}
	list := s.raw[service]
	for _, id := range d.GetRemoves() {
		delete(list, id)
	}
	for _, m := range d.GetUpserts() {
		if i, err := wasabiwire.ToInstance(m); err == nil && i.Service == service {
			list[i.ID] = i
		}
	}
	s.versions[service] = d.GetVersion()
	s.build(service)
	return true
}

// merge adds what a control instance knows that does not know all yet.
func (s *state) merge(d *wasabistandv1.MembershipDelta) {
	service := d.GetService()
	list := make(map[string]wasabistand.Instance, len(d.GetUpserts()))
	maps.Copy(list, s.raw[service])
	for _, m := range d.GetUpserts() {
		if i, err := wasabiwire.ToInstance(m); err == nil && i.Service == service {
			list[i.ID] = i
		}
	}
	s.raw[service] = list
	s.build(service)
}

func (s *state) build(service string) {
	list := make([]wasabistand.Instance, 0, len(s.raw[service]))
	for _, id := range slices.Sorted(maps.Keys(s.raw[service])) {
		i := s.raw[service][id]
		i.Drained = s.drained[id]
		list = append(list, i)
	}
	s.instances[service] = list
	s.dirty = true
}

// publish replaces the snapshot when something changed. There is none before
// the first configuration.
func (s *Session) publish() {
	if !s.state.dirty || !s.state.received {
		return
	}
	s.state.dirty = false
	v := &wasabistand.View{
		Revision: s.state.inForce, Contracts: s.state.contracts, Instances: maps.Clone(s.state.instances),
		Drained: s.state.drained[s.id], ClaimHomes: s.state.homes,
	}
	old := s.published.Swap(&published{view: v, changed: make(chan struct{})})
	close(old.changed)
}

func revisionField(n uint64) wasabistand.HeaderField {
	return wasabistand.HeaderField{Name: "Revision", Value: strconv.FormatUint(n, 10)}
}
