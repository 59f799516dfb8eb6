package wasabistate

import (
	"maps"
	"slices"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Kinds of history entries.
const (
	KindApply   = "apply"
	KindDrain   = "drain"
	KindUndrain = "undrain"
	KindAdopt   = "adopt"
)

// Document is a configuration document as of one revision.
type Document struct {
	// Revision also grows with drains and undrains.
	Revision uint64
	// DocumentRevision is the revision that introduced the document.
	DocumentRevision uint64
	TOML             string
}

// Entry describes an accepted command that created a revision.
type Entry struct {
	Revision       uint64
	Kind           string
	Operator       string
	AcceptedUnixMs int64
	Comment        string
	// Instance is the instance of a drain or undrain.
	Instance string
}

// Message returns the entry as a protocol message.
func (e Entry) Message() *wasabistandv1.HistoryEntry {
	return &wasabistandv1.HistoryEntry{
		Revision: e.Revision, Kind: e.Kind, Operator: e.Operator,
		AcceptedUnixMs: e.AcceptedUnixMs, Comment: e.Comment, Instance: e.Instance,
	}
}

// revision is an entry with the document that is active after it. Entries may
// share a document.
type revision struct {
	entry            Entry
	documentRevision uint64
	toml             string
}

type configuration struct {
	revision         uint64
	documentRevision uint64
	toml             string
	// replicatesRoot is true once revisions come from the root group.
	replicatesRoot bool
	drained        map[string]bool
	history        fifo[revision]
	// historyBytes is the size of the documents and texts in history. Each
	// document counts once.
	historyBytes int
}

func newConfiguration() configuration {
	return configuration{drained: make(map[string]bool)}
}

// Revision returns the latest revision, 0 before the first.
func (m *Machine) Revision() uint64 { return m.configuration.revision }

// Document returns the latest document.
func (m *Machine) Document() Document {
	c := &m.configuration
	return Document{Revision: c.revision, DocumentRevision: c.documentRevision, TOML: c.toml}
}

// Configuration returns the document as of a revision, or the latest one if
// revision is 0, and reports whether it is available. Revisions that are no
// longer in the history are not.
func (m *Machine) Configuration(revision uint64) (Document, bool) {
	c := &m.configuration
	if revision == 0 || revision == c.revision {
		return m.Document(), c.revision != 0
	}
	// Revision numbers in a home group may have gaps.
	for i := c.history.len() - 1; i >= 0; i-- {
		if r := c.history.at(i); r.entry.Revision == revision {
			return Document{Revision: revision, DocumentRevision: r.documentRevision, TOML: r.toml}, true
		}
	}
	return Document{}, false
}

// History returns at most limit entries with revisions below before, newest
// first. If before is 0, it starts at the latest revision.
func (m *Machine) History(limit int, before uint64) []Entry {
	var list []Entry
	h := &m.configuration.history
	for i := h.len() - 1; i >= 0 && len(list) < limit; i-- {
		if e := h.at(i).entry; before == 0 || e.Revision < before {
			list = append(list, e)
		}
	}
	return list
}

// Drained returns the names of drained instances, sorted.
func (m *Machine) Drained() []string {
	return slices.Sorted(maps.Keys(m.configuration.drained))
}

// ReplicatesRoot reports whether the revisions come from the root group.
func (m *Machine) ReplicatesRoot() bool { return m.configuration.replicatesRoot }

// appendRevision appends an entry for the current revision and removes the
// oldest entries beyond the limits.
func (c *configuration) appendRevision(e Entry, o Options) {
	r := revision{entry: e, documentRevision: c.documentRevision, toml: c.toml}
	c.historyBytes += r.size()
	if n := c.history.len(); n == 0 || c.history.at(n-1).documentRevision != r.documentRevision {
		c.historyBytes += len(r.toml)
	}
	c.history.push(r)
	for c.history.len() > 1 && (c.history.len() > o.maxRevisions || c.historyBytes > o.maxRevisionBytes) {
		old := c.history.pop()
		c.historyBytes -= old.size()
		if c.history.at(0).documentRevision != old.documentRevision {
			c.historyBytes -= len(old.toml)
		}
	}
}

func (r revision) size() int {
	return len(r.entry.Comment) + len(r.entry.Operator) + len(r.entry.Instance)
}

func (m *Machine) applyDocument(c *wasabistandv1.ApplyCommand) any {
	for _, err := range []error{
		checkLength("toml", c.GetToml(), 1, maxDocumentBytes),
		checkLength("operator", c.GetOperator(), 0, maxNameBytes),
		checkLength("comment", c.GetComment(), 0, maxCommentBytes),
	} {
		if err != nil {
			return InvalidResult{Err: err}
		}
	}
	content := applyDigest(c)
	if c.GetRevision() != 0 {
		return m.applyNumbered(c, content)
	}
	return m.runOnce(c.GetCommand(), content, func() any { return m.replaceDocument(c, m.configuration.revision+1) })
}

// applyNumbered applies a document with a revision number chosen by the
// operator. Revision numbers are never reused, so the number and the content
// identify the command.
func (m *Machine) applyNumbered(c *wasabistandv1.ApplyCommand, content [32]byte) any {
	if first, ok := m.numberedRevisions.byRevision[c.GetRevision()]; ok && first == content {
		return AppliedResult{Revision: c.GetRevision(), Changed: true, Repeated: true}
	}
	if c.GetExpectedRevision() == m.configuration.revision && c.GetRevision() <= m.configuration.revision {
		return InvalidResult{Err: wasabistand.ErrInvalid.New("revision: %d, allowed are those above %d", c.GetRevision(), m.configuration.revision)}
	}
	result := m.replaceDocument(c, c.GetRevision())
	if _, ok := result.(AppliedResult); ok {
		m.numberedRevisions.add(c.GetRevision(), content, m.options.maxCommandRecords)
	}
	return result
}

// replaceDocument activates a document as a new revision, unless the command
// expects a revision other than the latest.
func (m *Machine) replaceDocument(c *wasabistandv1.ApplyCommand, revision uint64) any {
	s := &m.configuration
	if s.replicatesRoot {
		return RefusedResult{Reason: "this group adopts its configuration from the root group"}
	}
	if c.GetExpectedRevision() != s.revision {
		r := ConflictResult{Expected: c.GetExpectedRevision(), Latest: s.revision}
		if n := s.history.len(); n > 0 {
			winner := s.history.at(n - 1).entry
			r.Winner, r.WonUnixMs = winner.Operator, winner.AcceptedUnixMs
		}
		return r
	}
	s.revision = revision
	s.documentRevision, s.toml = s.revision, c.GetToml()
	s.appendRevision(Entry{Revision: s.revision, Kind: KindApply, Operator: c.GetOperator(), AcceptedUnixMs: m.now, Comment: c.GetComment()}, m.options)
	return AppliedResult{Revision: s.revision, Changed: true}
}

// numberedRevisions holds the content digests of the latest accepted commands
// whose revision number was chosen by the operator, up to a limit.
type numberedRevisions struct {
	byRevision map[uint64][32]byte
	queue      fifo[uint64]
}

func newNumberedRevisions() numberedRevisions {
	return numberedRevisions{byRevision: make(map[uint64][32]byte)}
}

func (n *numberedRevisions) add(revision uint64, content [32]byte, maxEntries int) {
	for n.queue.len() >= maxEntries {
		delete(n.byRevision, n.queue.pop())
	}
	n.byRevision[revision] = content
	n.queue.push(revision)
}

func (m *Machine) setDrained(c *wasabistandv1.DrainCommand) any {
	for _, err := range []error{
		checkLength("instance", c.GetInstance(), 1, maxNameBytes),
		checkLength("operator", c.GetOperator(), 0, maxNameBytes),
		checkLength("comment", c.GetComment(), 0, maxCommentBytes),
	} {
		if err != nil {
			return InvalidResult{Err: err}
		}
	}
	return m.runOnce(c.GetCommand(), drainDigest(c), func() any {
		s := &m.configuration
		if s.replicatesRoot {
			return RefusedResult{Reason: "this group adopts its configuration from the root group"}
		}
		if s.drained[c.GetInstance()] == c.GetDrained() {
			return AppliedResult{Revision: s.revision}
		}
		kind := KindUndrain
		if c.GetDrained() {
			if len(s.drained) >= m.options.maxDrained {
				return RefusedResult{Reason: "too many drained instances"}
			}
			kind = KindDrain
			s.drained[c.GetInstance()] = true
		} else {
			delete(s.drained, c.GetInstance())
		}
		s.revision++
		s.appendRevision(Entry{
			Revision: s.revision, Kind: kind, Operator: c.GetOperator(),
			AcceptedUnixMs: m.now, Comment: c.GetComment(), Instance: c.GetInstance(),
		}, m.options)
		return AppliedResult{Revision: s.revision, Changed: true}
	})
}

// installRevision installs a revision of the root group. An empty document means
// that the document did not change.
func (m *Machine) installRevision(c *wasabistandv1.AdoptCommand) any {
	s := &m.configuration
	if !s.replicatesRoot && s.revision > 0 {
		return RefusedResult{Reason: "this group makes its own revisions"}
	}
	if c.GetRevision() <= s.revision {
		return AdoptedResult{Revision: s.revision}
	}
	toml, err := s.installedDocument(c, m.options)
	if err != nil {
		return InvalidResult{Err: err}
	}
	s.replicatesRoot = true
	s.revision, s.documentRevision, s.toml = c.GetRevision(), c.GetDocumentRevision(), toml
	clear(s.drained)
	for _, i := range c.GetDrained() {
		s.drained[i] = true
	}
	s.appendRevision(Entry{Revision: s.revision, Kind: KindAdopt, AcceptedUnixMs: m.now}, m.options)
	return AdoptedResult{Revision: s.revision, Adopted: true}
}

// installedDocument validates a revision of the root group and returns its
// document.
func (c *configuration) installedDocument(a *wasabistandv1.AdoptCommand, o Options) (string, error) {
	d := a.GetDocumentRevision()
	if d < c.documentRevision || d > a.GetRevision() {
		return "", wasabistand.ErrInvalid.New("document_revision: %d, allowed are %d to %d", d, c.documentRevision, a.GetRevision())
	}
	if len(a.GetDrained()) > o.maxDrained {
		return "", wasabistand.ErrInvalid.New("drained: %d, allowed are at most %d", len(a.GetDrained()), o.maxDrained)
	}
	for _, i := range a.GetDrained() {
		if err := checkLength("drained", i, 1, maxNameBytes); err != nil {
			return "", err
		}
	}
	if d == c.documentRevision {
		if t := a.GetToml(); t != "" && t != c.toml {
			return "", wasabistand.ErrInvalid.New("toml: document %d is known with another content", d)
		}
		return c.toml, nil
	}
	return a.GetToml(), checkLength("toml", a.GetToml(), 1, maxDocumentBytes)
}
