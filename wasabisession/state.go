package wasabisession

import (
	"maps"
	"slices"
	"strconv"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// state is what the node has received from control. Session.run owns it. The
// maps and slices in instances are replaced and never modified, because views
// share them.
type state struct {
	self             string
	hasConfiguration bool
	source           string // the address of the control instance that sent the revision
	revision         uint64 // the latest committed one received; never decreases
	appliedRevision  uint64 // the latest revision whose document is applied
	documentRevision uint64 // the revision of the applied document
	neededDocument   uint64 // the revision of the document of the latest revision
	refusedDocument  uint64 // the latest document that did not parse, 0 for none
	configuration    *wasabistand.Configuration
	drained          map[string]bool
	claimAddresses   map[string][]string
	controlAddresses []string
	controlRegions   map[string][]string
	members          map[string]map[string]wasabistand.Instance
	instances        map[string][]wasabistand.Instance
	versions         map[string]uint64
	// unverified holds the services whose list is that of another control instance
	// and may be the current one.
	unverified map[string]bool
	// resend holds the services whose list does not match what control sent.
	resend map[string]bool
	dirty  bool
}

func newState(self string) state {
	return state{
		self: self, configuration: wasabiconfig.Default(), members: map[string]map[string]wasabistand.Instance{},
		instances: map[string][]wasabistand.Instance{}, versions: map[string]uint64{}, unverified: map[string]bool{}, resend: map[string]bool{},
	}
}

// applyConfiguration applies an update that is not older than the current one.
// If its document does not parse or is missing, the previous configuration stays active.
func (s *state) applyConfiguration(u *wasabistandv1.ConfigurationUpdate) (err error) {
	s.neededDocument = u.GetDocumentRevision()
	if s.neededDocument > s.documentRevision && len(u.GetDocument()) > 0 {
		var c *wasabistand.Configuration
		if c, err = parseCompact(u.GetDocument()); err == nil {
			s.configuration, s.documentRevision = c, s.neededDocument
		} else {
			s.refusedDocument = s.neededDocument
		}
	}
	s.hasConfiguration, s.dirty, s.revision = true, true, u.GetRevision()
	if s.documentRevision >= s.neededDocument {
		s.appliedRevision = s.revision
	}
	drained := make(map[string]bool, len(u.GetDrained()))
	for _, id := range u.GetDrained() {
		drained[id] = true
	}
	if !maps.Equal(drained, s.drained) {
		s.drained = drained
		for service := range s.members {
			s.rebuild(service)
		}
	}
	s.claimAddresses = addressLists(u.GetClaimHomes())
	s.controlRegions = addressLists(u.GetControlRegions())
	s.controlAddresses = u.GetControlAddresses()
	return err
}

// lacksDocument reports whether the latest revision came without its document, which is
// not the one that was applied.
func (s *state) lacksDocument() bool {
	return s.documentRevision < s.neededDocument && s.refusedDocument != s.neededDocument
}

func parseCompact(document []byte) (*wasabistand.Configuration, error) {
	text, err := wasabiconfig.Expand(document)
	if err != nil {
		return nil, err
	}
	return wasabiconfig.Parse(text)
}

func addressLists(m map[string]*wasabistandv1.AddressList) map[string][]string {
	out := make(map[string][]string, len(m))
	for k, v := range m {
		out[k] = v.GetAddresses()
	}
	return out
}

// controls returns the control addresses of a region and those of all regions.
func (s *state) controls(region string) (regional, all []string) {
	return s.controlRegions[region], s.controlAddresses
}

// resetVersions clears the versions of the instance lists, which are valid only
// for one control instance. The lists stay until full ones replace them.
func (s *state) resetVersions() {
	clear(s.versions)
	clear(s.unverified)
	clear(s.resend)
	for service, list := range s.members {
		s.unverified[service] = len(list) > 0
	}
}

// verify compares the digest of a service's list, and reports whether the list is
// the current one.
func (s *state) verify(d *wasabistandv1.MembershipDelta) bool {
	service := d.GetService()
	if wasabimember.Digest(s.members[service]) != d.GetDigest() {
		s.requestResend(service)
		return false
	}
	s.versions[service] = d.GetVersion()
	return true
}

// requestResend records that a service's whole list is needed.
func (s *state) requestResend(service string) {
	delete(s.versions, service)
	s.resend[service] = true
}

// interest returns the message that subscribes to services, with the resends that
// are needed.
func (s *state) interest(services []string) *wasabistandv1.Interest {
	m := &wasabistandv1.Interest{Services: make(map[string]uint64, len(services))}
	for _, name := range services {
		m.Services[name] = s.versions[name]
		switch {
		case s.resend[name]:
			m.Resend = append(m.Resend, name)
		case s.versions[name] == 0 && s.unverified[name]:
			m.Held = append(m.Held, name)
		}
	}
	clear(s.resend)
	return m
}

// applyDelta applies a delta and reports whether its base version matched the
// current list. Invalid entries are ignored.
func (s *state) applyDelta(d *wasabistandv1.MembershipDelta) bool {
	service := d.GetService()
	if d.GetPartial() {
		s.mergePartial(d)
		return true
	}
	if d.GetDigest() != 0 {
		return s.verify(d)
	}
	if d.GetBaseVersion() != 0 && d.GetBaseVersion() != s.versions[service] {
		s.requestResend(service)
		return false
	}
	if d.GetBaseVersion() == 0 || s.members[service] == nil {
		s.members[service] = make(map[string]wasabistand.Instance, len(d.GetUpserts()))
	}
	list := s.members[service]
	for _, id := range d.GetRemoves() {
		delete(list, id)
	}
	for _, m := range d.GetUpserts() {
		if i, err := wasabiwire.ToInstance(m); err == nil && i.Service == service {
			list[i.ID] = i
		}
	}
	s.versions[service] = d.GetVersion()
	s.rebuild(service)
	return true
}

// mergePartial adds the instances of a control instance that does not have the
// complete list yet, and removes those that it knows to leave.
func (s *state) mergePartial(d *wasabistandv1.MembershipDelta) {
	service := d.GetService()
	list := make(map[string]wasabistand.Instance, len(d.GetUpserts()))
	maps.Copy(list, s.members[service])
	for _, id := range d.GetRemoves() {
		delete(list, id)
	}
	for _, m := range d.GetUpserts() {
		if i, err := wasabiwire.ToInstance(m); err == nil && i.Service == service {
			list[i.ID] = i
		}
	}
	s.members[service] = list
	s.rebuild(service)
}

// rebuild recomputes the sorted instance list of a service.
func (s *state) rebuild(service string) {
	list := make([]wasabistand.Instance, 0, len(s.members[service]))
	for _, id := range slices.Sorted(maps.Keys(s.members[service])) {
		i := s.members[service][id]
		i.Drained = s.drained[id]
		list = append(list, i)
	}
	s.instances[service] = list
	s.dirty = true
}

// publish replaces the published view if the state has changed. It publishes
// nothing before the first configuration.
func (s *Session) publish() {
	if !s.state.dirty || !s.state.hasConfiguration {
		return
	}
	s.state.dirty = false
	v := &wasabistand.View{
		Revision: s.state.appliedRevision, Configuration: s.state.configuration, Instances: maps.Clone(s.state.instances),
		Drained: s.state.drained[s.id], ClaimAddresses: s.state.claimAddresses, Source: s.state.source,
	}
	old := s.published.Swap(&viewSnapshot{view: v, changed: make(chan struct{})})
	close(old.changed)
}

func revisionField(n uint64) wasabistand.HeaderField { return numberField("Revision", n) }

func numberField(name string, n uint64) wasabistand.HeaderField {
	return wasabistand.HeaderField{Name: name, Value: strconv.FormatUint(n, 10)}
}
