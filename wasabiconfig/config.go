// Package wasabiconfig reads and checks the configuration that operators
// apply, and finds the contract of a call. It decides whether a document is
// valid as a whole; it does not decide when it comes into force.
package wasabiconfig

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabitoml"
)

// Bounds on a configuration. They keep one document under 1 MiB and its
// lookup tables small on each node.
const (
	MaxDocumentBytes = 1 << 20
	MaxServices      = 1000
	MaxCalls         = 200
	MaxCallers       = 10_000
	MaxQueueLimit    = 100_000
	MaxPatience      = 24 * time.Hour
	MaxRetries       = 100
	// minPatience is the wire's resolution.
	minPatience = time.Microsecond
)

// Defaults of values that a document may leave out.
const (
	defaultQueueLimit   = 200
	defaultPatience     = 10 * time.Second
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

// Default returns the contracts in force before any are applied: no services,
// and the default caller and retry contracts.
func Default() *wasabistand.Contracts {
	return &wasabistand.Contracts{
		Services: map[string]wasabistand.Service{},
		Callers:  map[string]wasabistand.Caller{wasabistand.DefaultCaller: {Name: wasabistand.DefaultCaller, Patience: defaultPatience}},
		Retry:    wasabistand.RetryContract{PerRequest: defaultRetries, SharePercent: defaultSharePercent, MinPerSecond: defaultMinPerSecond},
		Clients: wasabistand.ClientLimits{
			MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
		Upstreams: map[string]wasabistand.UpstreamContract{},
	}
}

// Parse reads a document and checks it whole. The error is of the class
// wasabistand.ErrInvalid and names each line, key, value and what is allowed.
func Parse(text []byte) (*wasabistand.Contracts, error) {
	return ParseFile("", text)
}

// ParseFile is Parse with the name of the file for its errors.
func ParseFile(file string, text []byte) (*wasabistand.Contracts, error) {
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
		d.Refuse(key, "%q is not a name; allowed are 1 to 63 letters, digits, \"-\" and \"_\", a letter or digit first", name)
	}
}

func readRetry(d *wasabitoml.Document, r *retry, out *wasabistand.RetryContract) {
	if r == nil {
		return
	}
	if r.PerRequest != nil {
		out.PerRequest = *r.PerRequest
		if out.PerRequest < 0 || out.PerRequest > MaxRetries {
			d.Refuse("Retry.PerRequest", "%d, allowed are 0 to %d", out.PerRequest, MaxRetries)
		}
	}
	if r.SharePercent != nil {
		out.SharePercent = *r.SharePercent
		if !(out.SharePercent >= 0 && out.SharePercent <= 100) {
			d.Refuse("Retry.SharePercent", "%v, allowed are 0 to 100", out.SharePercent)
		}
	}
	if r.MinPerSecond != nil {
		out.MinPerSecond = *r.MinPerSecond
		if !(out.MinPerSecond >= 0 && out.MinPerSecond <= 1000) {
			d.Refuse("Retry.MinPerSecond", "%v, allowed are 0 to 1000", out.MinPerSecond)
		}
	}
}

func readRegions(d *wasabitoml.Document, list []region, c *wasabistand.Contracts) {
	type pair struct{ a, b string }
	seen := map[pair]bool{}
	for i, r := range list {
		key := fmt.Sprintf("Regions[%d]", i)
		checkName(d, key+".A", r.A)
		checkName(d, key+".B", r.B)
		if r.A == r.B {
			d.Refuse(key+".B", "%q is the same region as A", r.B)
		}
		p := pair{min(r.A, r.B), max(r.A, r.B)}
		if seen[p] {
			d.Refuse(key, "the link between %q and %q is declared twice", r.A, r.B)
		}
		seen[p] = true
		d.CheckTime(key+".RoundTrip", r.RoundTrip, minPatience, time.Minute)
		if !(r.BytesPerSecond > 0 && r.BytesPerSecond <= 1e12) {
			d.Refuse(key+".BytesPerSecond", "%v, allowed are numbers above 0 up to 1e12", r.BytesPerSecond)
		}
		c.Regions = append(c.Regions, wasabistand.RegionLink{A: r.A, B: r.B, RoundTrip: r.RoundTrip.Duration, BytesPerSecond: r.BytesPerSecond})
	}
}

func readCallers(d *wasabitoml.Document, list []caller, c *wasabistand.Contracts) {
	if len(list) > MaxCallers {
		d.Refuse("Callers", "%d callers, allowed are at most %d", len(list), MaxCallers)
		return
	}
	seen := map[string]bool{}
	for i, r := range list {
		key := fmt.Sprintf("Callers[%d]", i)
		checkName(d, key+".Name", r.Name)
		if seen[r.Name] {
			d.Refuse(key+".Name", "caller %q is declared twice", r.Name)
		}
		seen[r.Name] = true
		d.CheckTime(key+".Patience", r.Patience, minPatience, MaxPatience)
		if r.Home != "" {
			checkName(d, key+".Home", r.Home)
		}
		if !(r.CallsPerSecond >= 0 && r.CallsPerSecond <= 1e6) {
			d.Refuse(key+".CallsPerSecond", "%v, allowed are 0 (no bound) to 1000000", r.CallsPerSecond)
		}
		if r.Burst < 0 || r.Burst > 1_000_000 {
			d.Refuse(key+".Burst", "%d, allowed are 0 to 1000000", r.Burst)
		}
		if r.CallsPerSecond > 0 && r.Burst == 0 {
			r.Burst = max(1, int(r.CallsPerSecond))
		}
		c.Callers[r.Name] = wasabistand.Caller{Name: r.Name, Patience: r.Patience.Duration, Home: r.Home, CallsPerSecond: r.CallsPerSecond, Burst: r.Burst}
	}
}

func readServices(d *wasabitoml.Document, list []service, c *wasabistand.Contracts) {
	if len(list) > MaxServices {
		d.Refuse("Services", "%d services, allowed are at most %d", len(list), MaxServices)
		return
	}
	for i, r := range list {
		key := fmt.Sprintf("Services[%d]", i)
		checkName(d, key+".Name", r.Name)
		if _, ok := c.Services[r.Name]; ok {
			d.Refuse(key+".Name", "service %q is declared twice", r.Name)
		}
		s := wasabistand.Service{Name: r.Name, QueueLimit: defaultQueueLimit, PreemptLesser: r.PreemptLesser}
		if r.QueueLimit != nil {
			s.QueueLimit = *r.QueueLimit
		}
		if s.QueueLimit < 1 || s.QueueLimit > MaxQueueLimit {
			d.Refuse(key+".QueueLimit", "%d, allowed are 1 to %d", s.QueueLimit, MaxQueueLimit)
		}
		if len(r.Calls) == 0 || len(r.Calls) > MaxCalls {
			d.Refuse(key+".Calls", "%d calls, allowed are 1 to %d", len(r.Calls), MaxCalls)
		}
		s.Calls = readCalls(d, key, r.Calls)
		c.Services[r.Name] = s
	}
}

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func readCalls(d *wasabitoml.Document, prefix string, list []call) []wasabistand.CallContract {
	out := make([]wasabistand.CallContract, 0, len(list))
	patterns := make([]pattern, 0, len(list))
	for i, r := range list {
		key := fmt.Sprintf("%s.Calls[%d]", prefix, i)
		checkName(d, key+".Name", r.Name)
		if slices.ContainsFunc(out, func(c wasabistand.CallContract) bool { return c.Name == r.Name }) {
			d.Refuse(key+".Name", "call %q is declared twice", r.Name)
		}
		if !slices.Contains(methods, r.Method) {
			d.Refuse(key+".Method", "%q, allowed are GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or none for any", r.Method)
		}
		p, err := parsePattern(r.Method, r.Path)
		if err != nil {
			d.Refuse(key+".Path", "%v", err)
		} else {
			for j, q := range patterns {
				if p.clashes(q) {
					d.Refuse(key+".Path", "%s %q clashes with the call %q: some request would match both and neither is more specific", r.Method, r.Path, list[j].Name)
				}
			}
		}
		patterns = append(patterns, p)
		importance, err := wasabistand.ParseImportance(r.Importance)
		if err != nil {
			d.Refuse(key+".Importance", "%q, allowed are Low, Normal, High, Critical", r.Importance)
		}
		if r.Idempotent == nil {
			d.Refuse(key+".Idempotent", "missing; state true or false")
		}
		d.CheckTime(key+".Timeout", r.Timeout, 0, MaxPatience)
		if r.MaxBodyBytes < 0 {
			d.Refuse(key+".MaxBodyBytes", "%d, allowed are 0 (no bound) and above", r.MaxBodyBytes)
		}
		out = append(out, wasabistand.CallContract{
			Name: r.Name, Method: r.Method, Path: r.Path, Importance: importance,
			Idempotent: r.Idempotent != nil && *r.Idempotent, Timeout: r.Timeout.Duration, MaxBodyBytes: r.MaxBodyBytes,
		})
	}
	return out
}
