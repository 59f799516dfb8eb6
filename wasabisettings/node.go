// Package wasabisettings reads the settings files of nodes and control
// instances. It checks that a file is valid before the process starts any
// component; the components define what the settings mean.
package wasabisettings

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand/wasabitoml"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// ProcessIdentity identifies a process and its location. Its fields are
// top-level keys of the settings files.
type ProcessIdentity struct {
	// Cluster is the name of the cluster. Processes of other clusters are
	// rejected.
	Cluster string
	// Instance is unique in the cluster.
	Instance      string
	Region        string
	FailureDomain string
}

// Node holds the settings of a node.
type Node struct {
	ProcessIdentity
	Upstream Upstream
	Listen   NodeListen
	Control  Control
	Limits   NodeLimits
}

// Upstream is the instance that the node serves as a sidecar.
type Upstream struct {
	Service string
	// URL is the address of the upstream, as http://IP:port.
	URL         string
	Slots       int
	Connections int
	// ColdStart is how long the upstream takes to warm up; 0 means no warm-up.
	ColdStart wasabitoml.Duration
}

// NodeListen holds the listen addresses of a node, each as IP:port.
type NodeListen struct {
	// Traffic serves callers and the upstream's outgoing calls.
	Traffic string
	// Link serves other nodes.
	Link string
	// Admin serves metrics, health and events.
	Admin string
}

// Control holds the addresses at which a node connects to control instances.
type Control struct {
	// Addresses are the link addresses of one or more control instances.
	Addresses []string
}

// NodeLimits limits the resources that a node uses.
type NodeLimits struct {
	// DrainTime is how long a graceful shutdown waits for calls in flight.
	DrainTime wasabitoml.Duration
	// MaxOpenCalls is the maximum number of calls in flight.
	MaxOpenCalls int
	// MaxHeaderBytes is the maximum size of the headers of a request.
	MaxHeaderBytes int
	// HeaderTimeout is how long a client may take to send its headers.
	HeaderTimeout wasabitoml.Duration
	// BodyIdleTimeout is the maximum pause while a body is transferred.
	BodyIdleTimeout wasabitoml.Duration
	// MaxLinks is the maximum number of links to other nodes.
	MaxLinks int
	// Events is the number of recent events that are retained.
	Events int
}

// DefaultNodeLimits returns the limits that apply unless the settings file
// overrides them.
func DefaultNodeLimits() NodeLimits {
	return NodeLimits{
		DrainTime:       wasabitoml.Duration{Duration: time.Minute},
		MaxOpenCalls:    10_000,
		MaxHeaderBytes:  64 << 10,
		HeaderTimeout:   wasabitoml.Duration{Duration: 10 * time.Second},
		BodyIdleTimeout: wasabitoml.Duration{Duration: 30 * time.Second},
		MaxLinks:        4096,
		Events:          10_000,
	}
}

// LoadNode reads a node's settings file.
func LoadNode(file string) (Node, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Node{}, err
	}
	return ParseNode(file, text)
}

// ParseNode decodes and checks a node's settings. file is the name that errors
// contain.
func ParseNode(file string, text []byte) (Node, error) {
	n := Node{Limits: DefaultNodeLimits()}
	d, err := wasabitoml.Decode(file, text, &n)
	if err != nil {
		return Node{}, err
	}
	checkProcessIdentity(d, n.ProcessIdentity)
	checkName(d, "Upstream.Service", n.Upstream.Service)
	if u, err := url.Parse(n.Upstream.URL); err != nil || u.Scheme != "http" || !isAddress(u.Host) || (u.Path != "" && u.Path != "/") {
		d.AddProblem("Upstream.URL", "%q, allowed is http://IP:port", n.Upstream.URL)
	}
	checkIntRange(d, "Upstream.Slots", n.Upstream.Slots, 1, wasabiwire.MaxSlots)
	checkIntRange(d, "Upstream.Connections", n.Upstream.Connections, 1, wasabiwire.MaxConnections)
	d.CheckDuration("Upstream.ColdStart", n.Upstream.ColdStart, 0, time.Hour)
	checkAddresses(d, map[string]string{"Listen.Traffic": n.Listen.Traffic, "Listen.Link": n.Listen.Link, "Listen.Admin": n.Listen.Admin})
	if len(n.Control.Addresses) == 0 {
		d.AddProblem("Control.Addresses", "missing; give the link address of at least one control instance")
	}
	for i, a := range n.Control.Addresses {
		checkAddress(d, fmt.Sprintf("Control.Addresses[%d]", i), a)
	}
	l := n.Limits
	d.CheckDuration("Limits.DrainTime", l.DrainTime, 0, time.Hour)
	d.CheckDuration("Limits.HeaderTimeout", l.HeaderTimeout, time.Millisecond, time.Hour)
	d.CheckDuration("Limits.BodyIdleTimeout", l.BodyIdleTimeout, time.Millisecond, time.Hour)
	checkIntRange(d, "Limits.MaxOpenCalls", l.MaxOpenCalls, 1, 1_000_000)
	checkIntRange(d, "Limits.MaxHeaderBytes", l.MaxHeaderBytes, 4096, 1<<20)
	checkIntRange(d, "Limits.MaxLinks", l.MaxLinks, 1, 100_000)
	checkIntRange(d, "Limits.Events", l.Events, 1, 10_000_000)
	return n, d.Err()
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(d *wasabitoml.Document, key, name string) {
	if !namePattern.MatchString(name) {
		d.AddProblem(key, "%q is not a name; allowed are 1 to 63 letters, digits, \".\", \"-\" and \"_\", a letter or digit first", name)
	}
}

func checkProcessIdentity(d *wasabitoml.Document, p ProcessIdentity) {
	checkName(d, "Cluster", p.Cluster)
	checkName(d, "Instance", p.Instance)
	checkName(d, "Region", p.Region)
	checkName(d, "FailureDomain", p.FailureDomain)
}

func checkIntRange(d *wasabitoml.Document, key string, n, lowest, highest int) {
	if n < lowest || n > highest {
		d.AddProblem(key, "%d, allowed are %d to %d", n, lowest, highest)
	}
}

func isAddress(a string) bool {
	p, err := netip.ParseAddrPort(a)
	return err == nil && p.Port() != 0
}

func checkAddress(d *wasabitoml.Document, key, a string) {
	if !isAddress(a) {
		d.AddProblem(key, "%q, allowed is IP:port", a)
	}
}

// checkAddresses adds a problem for each malformed address and for two keys with
// the same address.
func checkAddresses(d *wasabitoml.Document, list map[string]string) {
	keyByAddress := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(list)) {
		a := list[key]
		checkAddress(d, key, a)
		if other, ok := keyByAddress[a]; ok && a != "" {
			d.AddProblem(max(key, other), "%q is also the address of %s", a, min(key, other))
		}
		keyByAddress[a] = key
	}
}
