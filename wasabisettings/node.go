// Package wasabisettings reads the settings files of nodes and control
// instances. It decides whether a file is valid before anything starts; what
// the settings mean is up to the parts that get them.
package wasabisettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/wasabistand/wasabistand/wasabitoml"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// Place names a process and where it runs.
type Place struct {
	// Cluster names the installation; processes of others are refused.
	Cluster string
	// Instance is unique in the installation.
	Instance      string
	Region        string
	FailureDomain string
}

// Node is the settings of a node.
type Node struct {
	Place
	Upstream Upstream
	Listen   NodeListen
	Control  Control
	Limits   NodeLimits
}

// Upstream is the instance that the node stands beside.
type Upstream struct {
	Service string
	// URL is where the upstream listens, as http://IP:port.
	URL         string
	Slots       int
	Connections int
	// ColdStart is how long the upstream takes to warm up, 0 for not at all.
	ColdStart wasabitoml.Duration
}

// NodeListen is where the node listens, each as IP:port.
type NodeListen struct {
	// Traffic serves callers and the upstream's outgoing calls.
	Traffic string
	// Link serves other nodes.
	Link string
	// Admin serves metrics, health and events.
	Admin string
}

// Control is how a node finds control.
type Control struct {
	// Addresses are the link addresses of some control instances.
	Addresses []string
}

// NodeLimits bounds what a node holds.
type NodeLimits struct {
	// DrainTime is how long a planned stop waits for calls in flight.
	DrainTime wasabitoml.Duration
	// MaxOpenCalls bounds the calls in flight.
	MaxOpenCalls int
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// HeaderTimeout bounds how long a client may take to send its headers.
	HeaderTimeout wasabitoml.Duration
	// BodyIdleTimeout bounds a pause within a body.
	BodyIdleTimeout wasabitoml.Duration
	// MaxLinks bounds the links to other nodes.
	MaxLinks int
	// Events is how many events of the time line are kept.
	Events int
}

// DefaultNodeLimits returns the limits of a node that sets none.
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

// ParseNode reads a node's settings.
func ParseNode(file string, text []byte) (Node, error) {
	n := Node{Limits: DefaultNodeLimits()}
	d, err := wasabitoml.Decode(file, text, &n)
	if err != nil {
		return Node{}, err
	}
	checkPlace(d, n.Place)
	checkName(d, "Upstream.Service", n.Upstream.Service)
	if u, err := url.Parse(n.Upstream.URL); err != nil || u.Scheme != "http" || !isAddress(u.Host) || (u.Path != "" && u.Path != "/") {
		d.Refuse("Upstream.URL", "%q, allowed is http://IP:port", n.Upstream.URL)
	}
	checkCount(d, "Upstream.Slots", n.Upstream.Slots, 1, wasabiwire.MaxSlots)
	checkCount(d, "Upstream.Connections", n.Upstream.Connections, 1, wasabiwire.MaxConnections)
	d.CheckTime("Upstream.ColdStart", n.Upstream.ColdStart, 0, time.Hour)
	checkAddresses(d, map[string]string{"Listen.Traffic": n.Listen.Traffic, "Listen.Link": n.Listen.Link, "Listen.Admin": n.Listen.Admin})
	if len(n.Control.Addresses) == 0 {
		d.Refuse("Control.Addresses", "missing; give the link address of at least one control instance")
	}
	for i, a := range n.Control.Addresses {
		checkAddress(d, fmt.Sprintf("Control.Addresses[%d]", i), a)
	}
	l := n.Limits
	d.CheckTime("Limits.DrainTime", l.DrainTime, 0, time.Hour)
	d.CheckTime("Limits.HeaderTimeout", l.HeaderTimeout, time.Millisecond, time.Hour)
	d.CheckTime("Limits.BodyIdleTimeout", l.BodyIdleTimeout, time.Millisecond, time.Hour)
	checkCount(d, "Limits.MaxOpenCalls", l.MaxOpenCalls, 1, 1_000_000)
	checkCount(d, "Limits.MaxHeaderBytes", l.MaxHeaderBytes, 4096, 1<<20)
	checkCount(d, "Limits.MaxLinks", l.MaxLinks, 1, 100_000)
	checkCount(d, "Limits.Events", l.Events, 1, 10_000_000)
	return n, d.Err()
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(d *wasabitoml.Document, key, name string) {
	if !namePattern.MatchString(name) {
		d.Refuse(key, "%q is not a name; allowed are 1 to 63 letters, digits, \".\", \"-\" and \"_\", a letter or digit first", name)
	}
}

func checkPlace(d *wasabitoml.Document, p Place) {
	checkName(d, "Cluster", p.Cluster)
	checkName(d, "Instance", p.Instance)
	checkName(d, "Region", p.Region)
	checkName(d, "FailureDomain", p.FailureDomain)
}

func checkCount(d *wasabitoml.Document, key string, n, lowest, highest int) {
	if n < lowest || n > highest {
		d.Refuse(key, "%d, allowed are %d to %d", n, lowest, highest)
	}
}

func isAddress(a string) bool {
	p, err := netip.ParseAddrPort(a)
	return err == nil && p.Port() != 0
}

func checkAddress(d *wasabitoml.Document, key, a string) {
	if !isAddress(a) {
		d.Refuse(key, "%q, allowed is IP:port", a)
	}
}

// checkAddresses refuses malformed addresses and two keys with the same one.
func checkAddresses(d *wasabitoml.Document, list map[string]string) {
	seen := map[string]string{}
	for key, a := range list {
		checkAddress(d, key, a)
		if other, ok := seen[a]; ok && a != "" {
			d.Refuse(max(key, other), "%q is also the address of %s", a, min(key, other))
		}
		seen[a] = key
	}
}
