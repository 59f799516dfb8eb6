package wasabisettings

import (
	"fmt"
	"os"
	"time"

	"github.com/wasabistand/wasabistand/wasabitoml"
)

// ControlInstance holds the settings of a control instance.
type ControlInstance struct {
	ProcessIdentity
	// DataFolder holds all durable files. One process may use it at a time.
	DataFolder string
	Listen     ControlListen
	Groups     []Group
	Tokens     []Token
	Limits     ControlLimits
}

// ControlListen holds the listen addresses of a control instance, each as
// IP:port.
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
	// Region is the region whose claims the group stores; empty for the group
	// that serves all regions without a group of their own.
	Region string
	// Join is set when the group exists and this instance has an empty disk: the
	// instance then waits to be added instead of forming a new group.
	Join bool
	// Members are the group's initial members. They must be the same in each
	// member's file.
	Members []Member
}

// Member is one control instance of a group.
type Member struct {
	Instance string
	Address  string
}

// Token grants a right to an operator.
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

// MinTokenBytes is the minimum length of a token, so that tokens can't be
// guessed.
const MinTokenBytes = 16

// ControlLimits limits the resources that a control instance uses.
type ControlLimits struct {
	// MaxSessions is the maximum number of connected nodes.
	MaxSessions int
	// MaxClaims is the maximum number of claims that one group stores.
	MaxClaims int
	// ClaimRetention is how long the outcome of a claim is stored.
	ClaimRetention wasabitoml.Duration
	// MaxAnswerBytes is the maximum total size of the recorded responses that
	// one group stores.
	MaxAnswerBytes int64
	// SnapshotEntries is the number of log entries applied between snapshots.
	SnapshotEntries int
	// Events is the number of recent events that are retained.
	Events int
}

// DefaultControlLimits returns the limits that apply unless the settings file
// overrides them.
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

// ParseControl decodes and checks a control instance's settings. file is the
// name that errors contain.
func ParseControl(file string, text []byte) (ControlInstance, error) {
	c := ControlInstance{Limits: DefaultControlLimits()}
	d, err := wasabitoml.Decode(file, text, &c)
	if err != nil {
		return ControlInstance{}, err
	}
	checkProcessIdentity(d, c.ProcessIdentity)
	if c.DataFolder == "" {
		d.AddProblem("DataFolder", "missing; give the folder for durable files")
	}
	checkAddresses(d, map[string]string{"Listen.Link": c.Listen.Link, "Listen.API": c.Listen.API})
	checkGroups(d, c)
	checkTokens(d, c.Tokens)
	l := c.Limits
	checkIntRange(d, "Limits.MaxSessions", l.MaxSessions, 1, 100_000)
	checkIntRange(d, "Limits.MaxClaims", l.MaxClaims, 1, 10_000_000)
	d.CheckDuration("Limits.ClaimRetention", l.ClaimRetention, time.Second, 7*24*time.Hour)
	if l.MaxAnswerBytes < 0 || l.MaxAnswerBytes > 64<<30 {
		d.AddProblem("Limits.MaxAnswerBytes", "%d, allowed are 0 to %d", l.MaxAnswerBytes, int64(64<<30))
	}
	checkIntRange(d, "Limits.SnapshotEntries", l.SnapshotEntries, 10, 10_000_000)
	checkIntRange(d, "Limits.Events", l.Events, 1, 10_000_000)
	return c, d.Err()
}

func checkGroups(d *wasabitoml.Document, c ControlInstance) {
	names, regions := map[string]bool{}, map[string]bool{}
	for i, g := range c.Groups {
		key := fmt.Sprintf("Groups[%d]", i)
		checkName(d, key+".Name", g.Name)
		if names[g.Name] {
			d.AddProblem(key+".Name", "group %q is declared twice", g.Name)
		}
		names[g.Name] = true
		if g.Name == RootGroup && g.Region != "" {
			d.AddProblem(key+".Region", "%q, the root group serves no single region", g.Region)
		}
		if g.Name != RootGroup {
			checkName(d, key+".Region", g.Region)
			if regions[g.Region] {
				d.AddProblem(key+".Region", "region %q has two groups", g.Region)
			}
			regions[g.Region] = true
		}
		if n := len(g.Members); n < 1 || n > 7 {
			d.AddProblem(key+".Members", "%d members, allowed are 1 to 7", n)
		}
		instances := map[string]bool{}
		for j, m := range g.Members {
			key := fmt.Sprintf("%s.Members[%d]", key, j)
			checkName(d, key+".Instance", m.Instance)
			checkAddress(d, key+".Address", m.Address)
			if instances[m.Instance] {
				d.AddProblem(key+".Instance", "instance %q is a member twice", m.Instance)
			}
			instances[m.Instance] = true
			if m.Instance == c.Instance && m.Address != c.Listen.Link {
				d.AddProblem(key+".Address", "%q, but Listen.Link of this instance is %q", m.Address, c.Listen.Link)
			}
		}
		if !g.Join && !instances[c.Instance] && len(g.Members) > 0 && g.Name == RootGroup {
			d.AddProblem(key+".Members", "%q is not among them; add it, or set Join = true", c.Instance)
		}
	}
	if !names[RootGroup] {
		d.AddProblem("Groups", "no group %q; it holds the configuration", RootGroup)
	}
}

func checkTokens(d *wasabitoml.Document, list []Token) {
	secrets := map[string]bool{}
	for i, t := range list {
		key := fmt.Sprintf("Tokens[%d]", i)
		checkName(d, key+".Operator", t.Operator)
		if t.Right != RightRead && t.Right != RightChange {
			d.AddProblem(key+".Right", "%q, allowed are %s, %s", t.Right, RightRead, RightChange)
		}
		if len(t.Token) < MinTokenBytes {
			d.AddProblem(key+".Token", "%d bytes, allowed are at least %d", len(t.Token), MinTokenBytes)
		}
		if secrets[t.Token] {
			d.AddProblem(key+".Token", "the same as another operator's")
		}
		secrets[t.Token] = true
	}
}
