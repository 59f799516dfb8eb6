// Package wasabicontrol implements a control instance: it replicates the state
// of its groups, serves the sessions of nodes, exchanges announcements with other
// control instances and serves the operator API. It decides which sessions are
// served and when a revision is sent to nodes. Consensus, the state machine and
// leases are implemented by the packages that it uses.
package wasabicontrol

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// Right is the access level of a token.
type Right uint8

// Rights of a token; Change includes Read.
const (
	Read Right = iota + 1
	Change
)

// String returns the name of the right as used in settings.
func (r Right) String() string {
	switch r {
	case Read:
		return "Read"
	case Change:
		return "Change"
	default:
		return "Unset"
	}
}

// Token grants an operator access to the API.
type Token struct {
	// Name is the operator's name in the configuration history.
	Name  string
	Token string
	Right Right
}

// Member is a control instance that is a member of a group.
type Member struct {
	ID      string
	Address string
}

// RootGroup is the name of the group that holds the configuration.
const RootGroup = "root"

// Group is one replicated log. A control instance is a member of root and of the
// home groups that list it. Of other groups it has only the addresses.
type Group struct {
	Name string
	// Region is the region whose claims a home group stores; empty for root.
	Region string
	// Members is the initial list of members; later changes are stored in the
	// log.
	Members []Member
	// Join is set when the instance is to be added to an existing group.
	Join bool
}

// includes reports whether the instance with the ID is, or is to become, a member
// of the group.
func (g Group) includes(id string) bool {
	return g.Join || slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id })
}

// Settings holds the settings of a control instance. It is an immutable value.
type Settings struct {
	cluster           string
	id                string
	location          wasabistand.Location
	folder            string
	linkAddress       string
	apiAddress        string
	groups            []Group
	tokens            []Token
	maxSessions       int
	maxQueuedBytes    int
	slowTimeout       time.Duration
	lease             time.Duration
	flushInterval     time.Duration
	confirmTimeout    time.Duration
	confirmInterval   time.Duration
	quorumLossTimeout time.Duration
	operatorTimeout   time.Duration
	maxClaims         int
	maxClaimBatch     int
	claimRetention    time.Duration
	maxClaimEntries   int
	maxResponseBytes  int64
	maxDiskLosses     int
	revisions         int
	revisionBytes     int
}

// NewSettings returns the default settings of a control instance that is the only
// member of the root group.
func NewSettings(cluster, id, folder string) Settings {
	return Settings{
		cluster:     cluster,
		id:          id,
		folder:      folder,
		linkAddress: "127.0.0.1:7400",
		apiAddress:  "127.0.0.1:7401",
		// All nodes of a cluster of the target size fit on one instance, so
		// that the last remaining one can serve them.
		maxSessions: 4096,
		// Room for two documents of the maximum size and the lists of all
		// services.
		maxQueuedBytes: 4 << 20,
		slowTimeout:    5 * time.Second,
		lease:          3 * time.Second,
		// Combines a burst of changes into one delta per service.
		flushInterval:     20 * time.Millisecond,
		confirmTimeout:    time.Second,
		confirmInterval:   time.Second,
		quorumLossTimeout: 3 * time.Second,
		operatorTimeout:   5 * time.Second,
		maxClaims:         16384,
		maxClaimBatch:     512,
		claimRetention:    24 * time.Hour,
		maxClaimEntries:   500_000,
		maxResponseBytes:  256 << 20,
	}
}

// WithLocation returns a copy with another region and failure domain.
func (s Settings) WithLocation(l wasabistand.Location) Settings {
	s.location = l
	return s
}

// WithAddresses returns a copy with other addresses for links and the API.
func (s Settings) WithAddresses(link, api string) Settings {
	s.linkAddress, s.apiAddress = link, api
	return s
}

// WithGroups returns a copy with another list of groups.
func (s Settings) WithGroups(list ...Group) Settings {
	s.groups = slices.Clone(list)
	return s
}

// WithTokens returns a copy with another list of operators' tokens.
func (s Settings) WithTokens(list ...Token) Settings {
	s.tokens = slices.Clone(list)
	return s
}

// WithSessions returns a copy that serves at most count sessions. It drops a
// session whose queue exceeds queuedBytes or whose node reads nothing for
// slowTimeout.
func (s Settings) WithSessions(count, queuedBytes int, slowTimeout time.Duration) Settings {
	s.maxSessions, s.maxQueuedBytes, s.slowTimeout = count, queuedBytes, slowTimeout
	return s
}

// WithLease returns a copy with another lease duration for announcements.
func (s Settings) WithLease(d time.Duration) Settings {
	s.lease = d
	return s
}

// WithConfirm returns a copy that waits at most timeout for a quorum, confirms
// its state with the quorum every interval, and ends its sessions after
// lossTimeout without a quorum.
func (s Settings) WithConfirm(timeout, interval, lossTimeout time.Duration) Settings {
	s.confirmTimeout, s.confirmInterval, s.quorumLossTimeout = timeout, interval, lossTimeout
	return s
}

// WithAutoMembership returns a copy whose root group manages its members
// automatically: it adds instances that request to join, up to the number of
// voters that tolerates the simultaneous loss of the given number of disks, and
// replaces members that are lost. 0 keeps the members listed in the settings.
func (s Settings) WithAutoMembership(losses int) Settings {
	s.maxDiskLosses = losses
	return s
}

// WithRevisions returns a copy that keeps at most count earlier documents with at
// most the given total size. All instances of a group must use the same values.
func (s Settings) WithRevisions(count, bytes int) Settings {
	s.revisions, s.revisionBytes = count, bytes
	return s
}

// WithClaims returns a copy that keeps settled claims for the retention time, and
// at most entries claims and responseBytes of recorded responses per group. The
// settings of a group's leader apply.
func (s Settings) WithClaims(retention time.Duration, entries int, responseBytes int64) Settings {
	s.claimRetention, s.maxClaimEntries, s.maxResponseBytes = retention, entries, responseBytes
	return s
}

// validate returns an error that names the first invalid setting.
func (s Settings) validate() error {
	for _, f := range []struct{ name, value string }{{"Cluster", s.cluster}, {"ID", s.id}, {"Folder", s.folder}} {
		if f.value == "" || len(f.value) > 1000 {
			return wasabistand.ErrInvalid.New("%s: %d bytes, allowed are 1 to 1000", f.name, len(f.value))
		}
	}
	for _, f := range []struct{ name, value string }{{"LinkAddress", s.linkAddress}, {"APIAddress", s.apiAddress}} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return wasabistand.ErrInvalid.New("%s: %q, allowed is IP:port", f.name, f.value)
		}
	}
	names := map[string]bool{}
	for _, g := range s.groups {
		if g.Name == "" || names[g.Name] {
			return wasabistand.ErrInvalid.New("Groups: name %q is empty or used twice", g.Name)
		}
		names[g.Name] = true
		if (g.Name == RootGroup) != (g.Region == "") {
			return wasabistand.ErrInvalid.New("Groups: %q with region %q, allowed is a region for each group but root", g.Name, g.Region)
		}
		if !g.Join && len(g.Members) == 0 {
			return wasabistand.ErrInvalid.New("Groups: %q has no members, allowed is at least one", g.Name)
		}
		if g.Name == RootGroup && !g.includes(s.id) {
			return wasabistand.ErrInvalid.New("Groups: %q does not list this instance %q", g.Name, s.id)
		}
		for _, m := range g.Members {
			if _, err := netip.ParseAddrPort(m.Address); err != nil || m.ID == "" {
				return wasabistand.ErrInvalid.New("Groups: %q has the member %q at %q, allowed is IP:port", g.Name, m.ID, m.Address)
			}
		}
	}
	if !names[RootGroup] {
		return wasabistand.ErrInvalid.New("Groups: no group %q, each control instance must be a member of it", RootGroup)
	}
	for _, t := range s.tokens {
		if t.Name == "" || len(t.Token) < 16 || t.Right < Read || t.Right > Change {
			return wasabistand.ErrInvalid.New("Tokens: %q with %d bytes and right %s, allowed are a name, at least 16 bytes and Read or Change", t.Name, len(t.Token), t.Right)
		}
	}
	if s.maxSessions < 1 || s.maxQueuedBytes < 1 || s.maxClaims < 1 || s.maxClaimBatch < 1 || s.maxClaimEntries < 1 {
		return wasabistand.ErrInvalid.New("Limits: the limits of sessions, queued bytes and claims must each be at least 1")
	}
	if s.claimRetention < time.Second || s.claimRetention > 7*24*time.Hour {
		return wasabistand.ErrInvalid.New("ClaimRetention: %v, allowed are 1s to 168h", s.claimRetention)
	}
	return nil
}
