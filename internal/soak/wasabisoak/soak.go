// Package wasabisoak runs the product's own programs as processes on loopback
// addresses, injects a seeded plan of faults and changes from outside, and reports
// which promises on configurations didn't hold for callers and operators. It decides
// what happens when; package wasabioracle decides what is broken, and a Platform
// speaks to the programs.
package wasabisoak

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/wasabistand/wasabistand/internal/soak/wasabioracle"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

// ErrBroken means that a run found a broken promise.
var ErrBroken = Error.New("a promise was broken")

// Settings describe a run.
type Settings struct {
	Seed     uint64
	Duration time.Duration // after all machines are ready
	Nodes    int
	Controls int
	Cores    int // of each process
	Faults   []Kind
	// Proxy puts a proxy before the links of each control instance. The program must
	// be of a build whose settings allow that.
	Proxy   bool
	Program string // path of the program that the machines run
	Folder  string // for settings, data and logs; it must exist
	Bounds  wasabioracle.Settings
}

// Role is what a machine runs.
type Role int

// Roles.
const (
	Control Role = iota
	Node
)

// Machine is one simulated machine, with an address of its own.
type Machine struct {
	Name, IP, FailureDomain, Region string
	Role                            Role
	Service                         string // of the upstream instance beside a node
	Folder                          string // for its data
	Cores                           int
	Proxied                         bool // a proxy stands before its links
}

// Route is a route of a change.
type Route struct {
	Prefix, Service string
	Once            bool // requests may run once at most
}

// Change is a configuration to be sent.
type Change struct {
	Version, Base uint64
	Routes        []Route
	Services      []string
	Invalid       Invalidity
}

// Invalidity is why a change must be refused.
type Invalidity string

// Reasons to refuse a change.
const (
	Valid          Invalidity = ""
	UnknownService Invalidity = "unknown-service"
	NegativeWeight Invalidity = "negative-weight"
	NoTimeout      Invalidity = "no-timeout"
	LongTimeout    Invalidity = "long-timeout"
	OldVersion     Invalidity = "old-version"
	Truncated      Invalidity = "truncated"
)

// invalidities are the reasons that are drawn.
var invalidities = []Invalidity{UnknownService, NegativeWeight, NoTimeout, LongTimeout, OldVersion, Truncated}

// Request is a request of a caller.
type Request struct {
	ID, Path string
	Once     bool
	Timeout  time.Duration
}

// Response is what a caller got.
type Response struct {
	Outcome  wasabioracle.Outcome
	Status   int // 0 for none
	Service  string
	EchoedID string
}

// Caller sends requests to one node over connections that it keeps. It is safe for
// concurrent use.
type Caller interface {
	Call(ctx context.Context, r Request) Response
	Close() error
}

// Upstream is an instance of a service beside a node that reports itself to it.
type Upstream interface{ Close() error }

// Platform speaks to the programs under test. It is safe for concurrent use.
type Platform interface {
	String() string
	// Settings returns the text of the settings file of a machine. The first control
	// instances form the group.
	Settings(m Machine, controls []Machine) string
	// LinkAddresses returns the address that a control instance announces for links,
	// and the one on which it accepts them behind a proxy.
	LinkAddresses(m Machine) (announced, behind string)
	// Command returns the arguments and the environment of a machine's program.
	Command(m Machine, settingsPath string) (arguments, environment []string)
	// Free reports whether the addresses of a machine can be used.
	Free(m Machine) bool
	Ready(ctx context.Context, node Machine) bool
	// Apply sends a change once.
	Apply(ctx context.Context, control Machine, c Change) wasabioracle.Outcome
	// Read reads the latest configuration. An error means that there was no answer.
	Read(ctx context.Context, control Machine) (version uint64, prefixes []string, err error)
	NewCaller(node Machine) Caller
	// NewUpstream starts an instance. It calls ran as soon as it begins to work on a
	// request.
	NewUpstream(node Machine, ran func(id string, once bool)) (Upstream, error)
}
