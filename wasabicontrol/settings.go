// Package wasabicontrol is a control instance: it keeps the replicated state
// of its groups, holds the sessions of nodes, exchanges announcements with the
// other control instances and serves the operator API. It decides which
// sessions are served and when a revision goes out. Agreement, the state
// machine and leases are decided by the packages it drives.
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

// Right is what a token may do.
type Right uint8

// The rights.
const (
	Read Right = iota + 1
	Change
)

// String returns the name used in settings.
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

// Token lets an operator use the API.
type Token struct {
	// Name is the operator's name in the history.
	Name  string
	Token string
	Right Right
}

// Member is a control instance of a group.
type Member struct {
	ID      string
	Address string
}

// RootGroup is the name of the group that holds the configuration.
const RootGroup = "root"

// Group is one replicated log. A control instance takes part in root and in
// the home groups that list it; of others it knows the addresses.
type Group struct {
	Name string
	// Region is the region whose claims a home group holds; empty for root.
	Region string
	// Members is the first list of members; later changes are kept in the log.
	Members []Member
	// Join says that the instance is added to a group that exists already.
	Join bool
}

// has reports whether the instance takes part in the group.
func (g Group) has(id string) bool {
	return g.Join || slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id })
}

// Settings are the settings of a control instance: an immutable value.
type Settings struct {
	cluster          string
	id               string
	location         wasabistand.Location
	folder           string
	linkAddress      string
	apiAddress       string
	groups           []Group
	tokens           []Token
	maxSessions      int
	maxQueuedBytes   int
	slowAfter        time.Duration
	lease            time.Duration
	flushEvery       time.Duration
	confirmTimeout   time.Duration
	confirmEvery     time.Duration
	unconfirmedAfter time.Duration
	operatorTimeout  time.Duration
	maxClaims        int
	maxClaimBatch    int
	retention        time.Duration
	maxClaimEntries  int
	maxAnswerBytes   int64
	losses           int
	revisions        int
	revisionBytes    int
}

// NewSettings returns the default settings of one control instance that is
// alone in the root group.
func NewSettings(cluster, id, folder string) Settings {
	return Settings{
		cluster:     cluster,
		id:          id,
		folder:      folder,
		linkAddress: "127.0.0.1:7400",
		apiAddress:  "127.0.0.1:7401",
		// All nodes of the target size fit on one instance, so that the last
		// one that is left can serve them.
		maxSessions: 4096,
		// Two documents of the largest size and the lists of all services.
		maxQueuedBytes: 4 << 20,
		slowAfter:      5 * time.Second,
		lease:          3 * time.Second,
		// Collects the changes of a burst into one delta per service.
		flushEvery:       20 * time.Millisecond,
		confirmTimeout:   time.Second,
		confirmEvery:     time.Second,
		unconfirmedAfter: 3 * time.Second,
		operatorTimeout:  5 * time.Second,
		maxClaims:        16384,
		maxClaimBatch:    512,
		retention:        24 * time.Hour,
		maxClaimEntries:  500_000,
		maxAnswerBytes:   256 << 20,
	}
}

// WithLocation returns a copy for another region and failure domain.
func (s Settings) WithLocation(l wasabistand.Location) Settings {
	s.location = l
	return s
}

// WithAddresses returns a copy that serves links and the API elsewhere.
func (s Settings) WithAddresses(link, api string) Settings {
	s.linkAddress, s.apiAddress = link, api
	return s
}

// WithGroups returns a copy that takes part in other groups.
func (s Settings) WithGroups(list ...Group) Settings {
	s.groups = slices.Clone(list)
	return s
}

// WithTokens returns a copy that lets other operators use the API.
func (s Settings) WithTokens(list ...Token) Settings {
	s.tokens = slices.Clone(list)
	return s
}

// WithSessions returns a copy that serves at most count sessions and drops one
// that has more than queued bytes waiting, or that reads nothing for slow.
func (s Settings) WithSessions(count, queued int, slow time.Duration) Settings {
	s.maxSessions, s.maxQueuedBytes, s.slowAfter = count, queued, slow
	return s
}

// WithLease returns a copy with another lease of announcements.
func (s Settings) WithLease(d time.Duration) Settings {
	s.lease = d
	return s
}

// WithConfirm returns a copy that waits at most timeout for a quorum, asks it
// every interval, and ends its sessions after the time without one.
func (s Settings) WithConfirm(timeout, interval, after time.Duration) Settings {
	s.confirmTimeout, s.confirmEvery, s.unconfirmedAfter = timeout, interval, after
	return s
}

// WithFormation returns a copy whose root group forms itself: it takes in
// instances that ask, up to as many voters as bear the loss of the given number
// of disks at once, and replaces members that are gone. 0 keeps the members
// that the settings list.
func (s Settings) WithFormation(losses int) Settings {
	s.losses = losses
	return s
}

// WithRevisions returns a copy that keeps at most count earlier documents and
// bytes of them. All instances of a group need the same.
func (s Settings) WithRevisions(count, bytes int) Settings {
	s.revisions, s.revisionBytes = count, bytes
	return s
}

// WithClaims returns a copy that keeps settled claims for another time, and
// holds at most entries claims and answers bytes of recorded answers a group.
// The settings of a group's leader are in force.
func (s Settings) WithClaims(retention time.Duration, entries int, answers int64) Settings {
	s.retention, s.maxClaimEntries, s.maxAnswerBytes = retention, entries, answers
	return s
}

// check names the first setting that is not allowed.
func (s Settings) check() error {
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
		if g.Name == RootGroup && !g.has(s.id) {
			return wasabistand.ErrInvalid.New("Groups: %q does not list this instance %q", g.Name, s.id)
		}
		for _, m := range g.Members {
			if _, err := netip.ParseAddrPort(m.Address); err != nil || m.ID == "" {
				return wasabistand.ErrInvalid.New("Groups: %q has the member %q at %q, allowed is IP:port", g.Name, m.ID, m.Address)
			}
		}
	}
	if !names[RootGroup] {
		return wasabistand.ErrInvalid.New("Groups: no group %q, each control instance takes part in it", RootGroup)
	}
	for _, t := range s.tokens {
		if t.Name == "" || len(t.Token) < 16 || t.Right < Read || t.Right > Change {
			return wasabistand.ErrInvalid.New("Tokens: %q with %d bytes and right %s, allowed are a name, at least 16 bytes and Read or Change", t.Name, len(t.Token), t.Right)
		}
	}
	if s.maxSessions < 1 || s.maxQueuedBytes < 1 || s.maxClaims < 1 || s.maxClaimBatch < 1 || s.maxClaimEntries < 1 {
		return wasabistand.ErrInvalid.New("Bounds: each must be at least 1")
	}
	if s.retention < time.Second || s.retention > 7*24*time.Hour {
		return wasabistand.ErrInvalid.New("ClaimRetention: %v, allowed are 1s to 168h", s.retention)
	}
	return nil
}
