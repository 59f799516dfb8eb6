package wasabiconfig

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabitoml"
)

// Limits of routes.
const (
	MaxHosts = 10_000
	// MaxRoutes bounds the routes of all hosts together; a document of
	// MaxDocumentBytes holds fewer.
	MaxRoutes       = 20_000
	MaxSplit        = 100
	MaxRouteTimeout = 10 * time.Minute
	MaxAttempts     = 100
)

// Defaults of optional values. The limits on clients are common for HTTP servers.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultAttempts       = 1
)

type clients struct {
	MaxHeaderBytes *int
	MaxBodyBytes   *int64
	HeaderTimeout  *wasabitoml.Duration
	IdleTimeout    *wasabitoml.Duration
}

type upstream struct {
	Service        string
	HealthPath     string
	MaxConnections int
}

type host struct {
	Name   string
	Routes []route
}

type route struct {
	Name        string
	PathPrefix  string
	Kind        string
	Importance  string
	Objective   wasabitoml.Duration
	Timeout     wasabitoml.Duration
	MaxAttempts *int
	Service     string
	Split       []weightedService
}

type weightedService struct {
	Service string
	Weight  float64
}

func readClients(d *wasabitoml.Document, c *clients, out *wasabistand.ClientLimits) {
	if c == nil {
		return
	}
	if c.MaxHeaderBytes != nil {
		out.MaxHeaderBytes = *c.MaxHeaderBytes
		if out.MaxHeaderBytes < 256 || out.MaxHeaderBytes > 1<<20 {
			d.AddProblem("Clients.MaxHeaderBytes", "%d, allowed are 256 to %d", out.MaxHeaderBytes, 1<<20)
		}
	}
	if c.MaxBodyBytes != nil {
		out.MaxBodyBytes = *c.MaxBodyBytes
		if out.MaxBodyBytes < 0 {
			d.AddProblem("Clients.MaxBodyBytes", "%d, allowed are 0 and above", out.MaxBodyBytes)
		}
	}
	for _, t := range []struct {
		key   string
		value *wasabitoml.Duration
		out   *time.Duration
	}{
		{"Clients.HeaderTimeout", c.HeaderTimeout, &out.HeaderTimeout},
		{"Clients.IdleTimeout", c.IdleTimeout, &out.IdleTimeout},
	} {
		if t.value != nil {
			d.CheckDuration(t.key, *t.value, time.Millisecond, MaxTimeout)
			*t.out = t.value.Duration
		}
	}
}

var serviceNamePattern = regexp.MustCompile(`^[!-~]{1,128}$`)

func readUpstreams(d *wasabitoml.Document, list []upstream, c *wasabistand.Configuration) {
	if len(list) > MaxServices {
		d.AddProblem("Upstreams", "%d services, allowed are at most %d", len(list), MaxServices)
		return
	}
	for i, u := range list {
		key := fmt.Sprintf("Upstreams[%d]", i)
		if !serviceNamePattern.MatchString(u.Service) {
			d.AddProblem(key+".Service", "%q, allowed are 1 to 128 printable characters without spaces", u.Service)
		}
		if _, ok := c.Upstreams[u.Service]; ok {
			d.AddProblem(key+".Service", "service %q is declared twice", u.Service)
		}
		if u.HealthPath != "" && !strings.HasPrefix(u.HealthPath, "/") {
			d.AddProblem(key+".HealthPath", "%q, allowed is an absolute path or none", u.HealthPath)
		}
		if u.MaxConnections < 0 || u.MaxConnections > 1_000_000 {
			d.AddProblem(key+".MaxConnections", "%d, allowed are 0 (as announced) to 1000000", u.MaxConnections)
		}
		c.Upstreams[u.Service] = wasabistand.UpstreamPolicy(u)
	}
}

func readHosts(d *wasabitoml.Document, list []host, c *wasabistand.Configuration) {
	if len(list) > MaxHosts {
		d.AddProblem("Hosts", "%d hosts, allowed are at most %d", len(list), MaxHosts)
		return
	}
	seen := map[string]bool{}
	total := 0
	for i, h := range list {
		key := fmt.Sprintf("Hosts[%d]", i)
		name := strings.ToLower(h.Name)
		if name == "" || len(name) > 255 || strings.ContainsAny(name, " /\t") {
			d.AddProblem(key+".Name", "%q, allowed is a host name", h.Name)
		}
		if total += len(h.Routes); total > MaxRoutes {
			d.AddProblem(key+".Routes", "%d routes, allowed are at most %d in all", total, MaxRoutes)
			return
		}
		out := wasabistand.Host{Name: name, Routes: make([]wasabistand.Route, 0, len(h.Routes))}
		for j, r := range h.Routes {
			at := fmt.Sprintf("%s.Routes[%d]", key, j)
			if prefix := name + r.PathPrefix; seen[prefix] {
				d.AddProblem(at+".PathPrefix", "%q is declared twice for host %q", r.PathPrefix, name)
			} else {
				seen[prefix] = true
			}
			out.Routes = append(out.Routes, readRoute(d, at, r, c))
		}
		c.Hosts = append(c.Hosts, out)
	}
}

func readRoute(d *wasabitoml.Document, key string, r route, c *wasabistand.Configuration) wasabistand.Route {
	if len(r.Name) > 128 {
		d.AddProblem(key+".Name", "%d bytes, allowed are at most 128", len(r.Name))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		d.AddProblem(key+".PathPrefix", "%q, allowed is a path that begins and ends with a slash", r.PathPrefix)
	}
	kind, err := wasabistand.ParseRouteKind(r.Kind)
	if err != nil {
		d.AddProblem(key+".Kind", "%q, allowed are Safe, Unsafe, Upload", r.Kind)
	}
	importance, err := wasabistand.ParseImportance(r.Importance)
	if err != nil {
		d.AddProblem(key+".Importance", "%q, allowed are Low, Normal, High, Critical", r.Importance)
	}
	d.CheckDuration(key+".Timeout", r.Timeout, time.Nanosecond, MaxRouteTimeout)
	d.CheckDuration(key+".Objective", r.Objective, 0, MaxTimeout)
	attempts := defaultAttempts
	if r.MaxAttempts != nil {
		attempts = *r.MaxAttempts
	}
	if attempts < 1 || attempts > MaxAttempts {
		d.AddProblem(key+".MaxAttempts", "%d, allowed are 1 to %d", attempts, MaxAttempts)
	}
	out := wasabistand.Route{
		Name: r.Name, PathPrefix: r.PathPrefix, Kind: kind, Importance: importance,
		Objective: r.Objective.Duration, Timeout: r.Timeout.Duration, MaxAttempts: attempts,
	}
	parts := r.Split
	switch {
	case (r.Service == "") == (len(parts) == 0):
		d.AddProblem(key, "either Service or Split must be given")
	case r.Service != "":
		parts = []weightedService{{Service: r.Service, Weight: 1}}
	case len(parts) > MaxSplit:
		d.AddProblem(key+".Split", "%d services, allowed are at most %d", len(parts), MaxSplit)
	}
	sum := 0.0
	for i, p := range parts {
		at := fmt.Sprintf("%s.Split[%d]", key, i)
		if _, ok := c.Upstreams[p.Service]; !ok {
			d.AddProblem(at+".Service", "%q, allowed are the services under Upstreams", p.Service)
		}
		if !(p.Weight >= 0) || math.IsInf(p.Weight, 0) {
			d.AddProblem(at+".Weight", "%v, allowed are numbers from 0 on", p.Weight)
		}
		sum += p.Weight
		out.Split = append(out.Split, wasabistand.WeightedService{Service: p.Service, Weight: p.Weight})
	}
	if len(parts) > 0 && !(sum > 0) {
		d.AddProblem(key+".Split", "all weights are 0, allowed is at least one above")
	}
	return out
}
