// Package wasabiconfig parses and validates the configuration that operators
// apply, and finds the policy of a call. It decides whether a document is valid
// as a whole; when a valid one is applied is decided elsewhere.
package wasabiconfig

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabitoml"
)

// Limits of a configuration. They keep one document under 1 MiB and its
// lookup tables small on each node.
const (
	MaxDocumentBytes = 1 << 20
	MaxServices      = 1000
	MaxCalls         = 200
	MaxCallers       = 10_000
	MaxQueueLimit    = 100_000
	MaxTimeout       = 24 * time.Hour
	MaxRetries       = 100
	// minDuration is the resolution of durations on the wire.
	minDuration = time.Microsecond
)

// Defaults of optional values.
const (
	defaultQueueLimit   = 200
	defaultMaxTimeout   = 10 * time.Second
	defaultRetries      = 3
	defaultSharePercent = 10
	defaultMinPerSecond = 10
)

type document struct {
	Annotation string
	Retry      *retry
	Clients    *clients
	Regions    []region
	Callers    []caller
	Services   []service
	Upstreams  []upstream
	Hosts      []host
}

type retry struct {
	PerRequest   *int
	SharePercent *float64
	MinPerSecond *float64
}

type region struct {
	A, B           string
	RoundTrip      wasabitoml.Duration
	BytesPerSecond float64
}

type caller struct {
	Name           string
	Patience       wasabitoml.Duration
	Home           string
	CallsPerSecond float64
	Burst          int
}

type service struct {
	Name          string
	QueueLimit    *int
	PreemptLesser bool
	Calls         []call
}

type call struct {
	Name         string
	Method       string
	Path         string
	Importance   string
	Idempotent   *bool
	Timeout      wasabitoml.Duration
	MaxBodyBytes int64
}

// Default returns the configuration that is active before one is applied: no
// services, and the default caller and retry policies.
func Default() *wasabistand.Configuration {
	return &wasabistand.Configuration{
		Services: map[string]wasabistand.Service{},
		Callers:  map[string]wasabistand.Caller{wasabistand.DefaultCaller: {Name: wasabistand.DefaultCaller, MaxTimeout: defaultMaxTimeout}},
		Retry:    wasabistand.RetryPolicy{PerRequest: defaultRetries, SharePercent: defaultSharePercent, MinPerSecond: defaultMinPerSecond},
		Clients: wasabistand.ClientLimits{
			MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
		Upstreams: map[string]wasabistand.UpstreamPolicy{},
	}
}

// Parse parses a document and validates it as a whole. The error is of the
// class wasabistand.ErrInvalid and lists all problems, each with its line, key
// and value and with what is allowed.
func Parse(text []byte) (*wasabistand.Configuration, error) {
	return ParseFile("", text)
}

// ParseFile is like Parse, with the name of the file in its errors.
func ParseFile(file string, text []byte) (*wasabistand.Configuration, error) {
	if len(text) > MaxDocumentBytes {
		return nil, wasabistand.ErrInvalid.New("document of %d bytes, allowed are at most %d", len(text), MaxDocumentBytes)
	}
	var doc document
	d, err := wasabitoml.Decode(file, text, &doc)
	if err != nil {
		return nil, err
	}
	c := Default()
	readRetry(d, doc.Retry, &c.Retry)
	readRegions(d, doc.Regions, c)
	readCallers(d, doc.Callers, c)
	readServices(d, doc.Services, c)
	c.Annotation = doc.Annotation
	readClients(d, doc.Clients, &c.Clients)
	readUpstreams(d, doc.Upstreams, c)
	readHosts(d, doc.Hosts, c)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

func checkName(d *wasabitoml.Document, key, name string) {
	if !namePattern.MatchString(name) {
		d.AddProblem(key, "%q is not a name; allowed are 1 to 63 letters, digits, \"-\" and \"_\", a letter or digit first", name)
	}
}

func readRetry(d *wasabitoml.Document, r *retry, out *wasabistand.RetryPolicy) {
	if r == nil {
		return
	}
	if r.PerRequest != nil {
		out.PerRequest = *r.PerRequest
		if out.PerRequest < 0 || out.PerRequest > MaxRetries {
			d.AddProblem("Retry.PerRequest", "%d, allowed are 0 to %d", out.PerRequest, MaxRetries)
		}
	}
	if r.SharePercent != nil {
		out.SharePercent = *r.SharePercent
		if !(out.SharePercent >= 0 && out.SharePercent <= 100) {
			d.AddProblem("Retry.SharePercent", "%v, allowed are 0 to 100", out.SharePercent)
		}
	}
	if r.MinPerSecond != nil {
		out.MinPerSecond = *r.MinPerSecond
		if !(out.MinPerSecond >= 0 && out.MinPerSecond <= 1000) {
			d.AddProblem("Retry.MinPerSecond", "%v, allowed are 0 to 1000", out.MinPerSecond)
		}
	}
}

func readRegions(d *wasabitoml.Document, list []region, c *wasabistand.Configuration) {
	type pair struct{ a, b string }
	seen := map[pair]bool{}
	for i, r := range list {
		key := fmt.Sprintf("Regions[%d]", i)
		checkName(d, key+".A", r.A)
		checkName(d, key+".B", r.B)
		if r.A == r.B {
			d.AddProblem(key+".B", "%q is the same region as A", r.B)
		}
		p := pair{min(r.A, r.B), max(r.A, r.B)}
		if seen[p] {
			d.AddProblem(key, "the link between %q and %q is declared twice", r.A, r.B)
		}
		seen[p] = true
		d.CheckDuration(key+".RoundTrip", r.RoundTrip, minDuration, time.Minute)
		if !(r.BytesPerSecond > 0 && r.BytesPerSecond <= 1e12) {
			d.AddProblem(key+".BytesPerSecond", "%v, allowed are numbers above 0 up to 1e12", r.BytesPerSecond)
		}
		c.Regions = append(c.Regions, wasabistand.RegionLink{A: r.A, B: r.B, RoundTrip: r.RoundTrip.Duration, BytesPerSecond: r.BytesPerSecond})
	}
}

func readCallers(d *wasabitoml.Document, list []caller, c *wasabistand.Configuration) {
	if len(list) > MaxCallers {
		d.AddProblem("Callers", "%d callers, allowed are at most %d", len(list), MaxCallers)
		return
	}
	seen := map[string]bool{}
	for i, r := range list {
		key := fmt.Sprintf("Callers[%d]", i)
		checkName(d, key+".Name", r.Name)
		if seen[r.Name] {
			d.AddProblem(key+".Name", "caller %q is declared twice", r.Name)
		}
		seen[r.Name] = true
		d.CheckDuration(key+".Patience", r.Patience, minDuration, MaxTimeout)
		if r.Home != "" {
			checkName(d, key+".Home", r.Home)
		}
		if !(r.CallsPerSecond >= 0 && r.CallsPerSecond <= 1e6) {
			d.AddProblem(key+".CallsPerSecond", "%v, allowed are 0 (no bound) to 1000000", r.CallsPerSecond)
		}
		if r.Burst < 0 || r.Burst > 1_000_000 {
			d.AddProblem(key+".Burst", "%d, allowed are 0 to 1000000", r.Burst)
		}
		if r.CallsPerSecond > 0 && r.Burst == 0 {
			r.Burst = max(1, int(r.CallsPerSecond))
		}
		c.Callers[r.Name] = wasabistand.Caller{Name: r.Name, MaxTimeout: r.Patience.Duration, HomeRegion: r.Home, CallsPerSecond: r.CallsPerSecond, Burst: r.Burst}
	}
}

func readServices(d *wasabitoml.Document, list []service, c *wasabistand.Configuration) {
	if len(list) > MaxServices {
		d.AddProblem("Services", "%d services, allowed are at most %d", len(list), MaxServices)
		return
	}
	for i, r := range list {
		key := fmt.Sprintf("Services[%d]", i)
		checkName(d, key+".Name", r.Name)
		if _, ok := c.Services[r.Name]; ok {
			d.AddProblem(key+".Name", "service %q is declared twice", r.Name)
		}
		s := wasabistand.Service{Name: r.Name, QueueLimit: defaultQueueLimit, PreemptLowerImportance: r.PreemptLesser}
		if r.QueueLimit != nil {
			s.QueueLimit = *r.QueueLimit
		}
		if s.QueueLimit < 1 || s.QueueLimit > MaxQueueLimit {
			d.AddProblem(key+".QueueLimit", "%d, allowed are 1 to %d", s.QueueLimit, MaxQueueLimit)
		}
		if len(r.Calls) == 0 || len(r.Calls) > MaxCalls {
			d.AddProblem(key+".Calls", "%d calls, allowed are 1 to %d", len(r.Calls), MaxCalls)
		}
		s.Calls = readCalls(d, key, r.Calls)
		c.Services[r.Name] = s
	}
}

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func readCalls(d *wasabitoml.Document, prefix string, list []call) []wasabistand.CallPolicy {
	out := make([]wasabistand.CallPolicy, 0, len(list))
	patterns := make([]pattern, 0, len(list))
	for i, r := range list {
		key := fmt.Sprintf("%s.Calls[%d]", prefix, i)
		checkName(d, key+".Name", r.Name)
		if slices.ContainsFunc(out, func(c wasabistand.CallPolicy) bool { return c.Name == r.Name }) {
			d.AddProblem(key+".Name", "call %q is declared twice", r.Name)
		}
		if !slices.Contains(methods, r.Method) {
			d.AddProblem(key+".Method", "%q, allowed are GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or none for any", r.Method)
		}
		p, err := parsePattern(r.Method, r.Path)
		if err != nil {
			d.AddProblem(key+".Path", "%v", err)
		} else {
			for j, q := range patterns {
				if p.conflictsWith(q) {
					d.AddProblem(key+".Path", "%s %q clashes with the call %q: some request would match both and neither is more specific", r.Method, r.Path, list[j].Name)
				}
			}
		}
		patterns = append(patterns, p)
		importance, err := wasabistand.ParseImportance(r.Importance)
		if err != nil {
			d.AddProblem(key+".Importance", "%q, allowed are Low, Normal, High, Critical", r.Importance)
		}
		if r.Idempotent == nil {
			d.AddProblem(key+".Idempotent", "missing; state true or false")
		}
		d.CheckDuration(key+".Timeout", r.Timeout, 0, MaxTimeout)
		if r.MaxBodyBytes < 0 {
			d.AddProblem(key+".MaxBodyBytes", "%d, allowed are 0 (no bound) and above", r.MaxBodyBytes)
		}
		out = append(out, wasabistand.CallPolicy{
			Name: r.Name, Method: r.Method, Path: r.Path, Importance: importance,
			Idempotent: r.Idempotent != nil && *r.Idempotent, Timeout: r.Timeout.Duration, MaxBodyBytes: r.MaxBodyBytes,
		})
	}
	return out
}
