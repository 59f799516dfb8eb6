package wasabisettings

import (
	"fmt"
	"os"
	"time"

	"github.com/wasabistand/wasabistand/wasabitoml"
)

// ControlInstance is the settings of a control instance.
type ControlInstance struct {
	Place
	// DataFolder holds all durable files. One process may use it at a time.
	DataFolder string
	Listen     ControlListen
	Groups     []Group
	Tokens     []Token
	Limits     ControlLimits
}

// ControlListen is where a control instance listens, each as IP:port.
type ControlListen struct {
	// Link serves nodes and other control instances.
	Link string
	// API serves operators, metrics and health.
	API string
}

// Group is a set of control instances that replicate one log.
type Group struct {
	// Name is "root" for the group that holds the configuration.
	Name string
	// Region is the region whose claims the group holds; empty for the group
	// that serves all regions without one of their own.
	Region string
	// Join says that the group exists and this instance has an empty disk: it
	// waits to be added in place of forming a new group.
	Join bool
	// Members are the group's first members, the same in each member's file.
	Members []Member
}

// Member is one control instance of a group.
type Member struct {
	Instance string
	Address  string
}

// Token gives an operator a right.
type Token struct {
	Operator string
	// Right is "Read" or "Change".
	Right string
	// Token is the secret, at least 16 bytes.
	Token string
}

// The rights of tokens.
const (
	RightRead   = "Read"
	RightChange = "Change"
)

// RootGroup is the name of the group that holds the configuration.
const RootGroup = "root"

// MinTokenBytes keeps tokens from being guessed.
const MinTokenBytes = 16

// ControlLimits bounds what a control instance holds.
type ControlLimits struct {
	// MaxSessions bounds the nodes served.
	MaxSessions int
	// MaxClaims bounds the claims held by one group.
	MaxClaims int
	// ClaimRetention is how long a claim's outcome is kept.
	ClaimRetention wasabitoml.Duration
	// MaxAnswerBytes bounds the recorded answers held by one group.
	MaxAnswerBytes int64
	// SnapshotEntries is how many log entries are applied between snapshots.
	SnapshotEntries int
	// Events is how many events of the time line are kept.
	Events int
}

// DefaultControlLimits returns the limits of an instance that sets none.
func DefaultControlLimits() ControlLimits {
	return ControlLimits{
		MaxSessions:     3000,
		MaxClaims:       500_000,
		ClaimRetention:  wasabitoml.Duration{Duration: 24 * time.Hour},
		MaxAnswerBytes:  256 << 20,
		SnapshotEntries: 10_000,
		Events:          10_000,
	}
}

// LoadControl reads a control instance's settings file.
func LoadControl(file string) (ControlInstance, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return ControlInstance{}, err
	}
	return ParseControl(file, text)
}

// ParseControl reads a control instance's settings.
func ParseControl(file string, text []byte) (ControlInstance, error) {
	c := ControlInstance{Limits: DefaultControlLimits()}
	d, err := wasabitoml.Decode(file, text, &c)
	if err != nil {
		return ControlInstance{}, err
	}
	checkPlace(d, c.Place)
	if c.DataFolder == "" {
		d.Refuse("DataFolder", "missing; give the folder for durable files")
	}
	checkAddresses(d, map[string]string{"Listen.Link": c.Listen.Link, "Listen.API": c.Listen.API})
	checkGroups(d, c)
	checkTokens(d, c.Tokens)
	l := c.Limits
	checkCount(d, "Limits.MaxSessions", l.MaxSessions, 1, 100_000)
	checkCount(d, "Limits.MaxClaims", l.MaxClaims, 1, 10_000_000)
	d.CheckTime("Limits.ClaimRetention", l.ClaimRetention, time.Second, 7*24*time.Hour)
	if l.MaxAnswerBytes < 0 || l.MaxAnswerBytes > 64<<30 {
		d.Refuse("Limits.MaxAnswerBytes", "%d, allowed are 0 to %d", l.MaxAnswerBytes, int64(64<<30))
	}
	checkCount(d, "Limits.SnapshotEntries", l.SnapshotEntries, 10, 10_000_000)
	checkCount(d, "Limits.Events", l.Events, 1, 10_000_000)
	return c, d.Err()
}

func checkGroups(d *wasabitoml.Document, c ControlInstance) {
	names, regions := map[string]bool{}, map[string]bool{}
	for i, g := range c.Groups {
		key := fmt.Sprintf("Groups[%d]", i)
		checkName(d, key+".Name", g.Name)
		if names[g.Name] {
			d.Refuse(key+".Name", "group %q is declared twice", g.Name)
		}
		names[g.Name] = true
		if g.Name == RootGroup && g.Region != "" {
			d.Refuse(key+".Region", "%q, the root group serves no single region", g.Region)
		}
		if g.Name != RootGroup {
			checkName(d, key+".Region", g.Region)
			if regions[g.Region] {
				d.Refuse(key+".Region", "region %q has two groups", g.Region)
			}
			regions[g.Region] = true
		}
		if n := len(g.Members); n < 1 || n > 7 {
			d.Refuse(key+".Members", "%d members, allowed are 1 to 7", n)
		}
		member := map[string]bool{}
		for j, m := range g.Members {
			key := fmt.Sprintf("%s.Members[%d]", key, j)
			checkName(d, key+".Instance", m.Instance)
			checkAddress(d, key+".Address", m.Address)
			if member[m.Instance] {
				d.Refuse(key+".Instance", "instance %q is a member twice", m.Instance)
			}
			member[m.Instance] = true
			if m.Instance == c.Instance && m.Address != c.Listen.Link {
				d.Refuse(key+".Address", "%q, but Listen.Link of this instance is %q", m.Address, c.Listen.Link)
			}
		}
		if !g.Join && !member[c.Instance] && len(g.Members) > 0 && g.Name == RootGroup {
			d.Refuse(key+".Members", "%q is not among them; add it, or set Join = true", c.Instance)
		}
	}
	if !names[RootGroup] {
		d.Refuse("Groups", "no group %q; it holds the configuration", RootGroup)
	}
}

func checkTokens(d *wasabitoml.Document, list []Token) {
	seen := map[string]bool{}
	for i, t := range list {
		key := fmt.Sprintf("Tokens[%d]", i)
		checkName(d, key+".Operator", t.Operator)
		if t.Right != RightRead && t.Right != RightChange {
			d.Refuse(key+".Right", "%q, allowed are %s, %s", t.Right, RightRead, RightChange)
		}
		if len(t.Token) < MinTokenBytes {
			d.Refuse(key+".Token", "%d bytes, allowed are at least %d", len(t.Token), MinTokenBytes)
		}
		if seen[t.Token] {
			d.Refuse(key+".Token", "the same as another operator's")
		}
		seen[t.Token] = true
	}
}
