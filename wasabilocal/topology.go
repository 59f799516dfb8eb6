package wasabilocal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabiupstream"
)

// Service describes one service of a topology.
type Service struct {
	Name          string
	Slots         int
	Connections   int
	ServiceTime   time.Duration
	ResponseBytes int
	Downstream    []wasabiupstream.DownstreamCall
}

// Topology describes the services to run and where their workers are.
type Topology struct {
	Regions []string
	// DomainsPerRegion and WorkersPerDomain set the number of workers of each
	// service.
	DomainsPerRegion, WorkersPerDomain int
	Services                           []Service
	Latencies                          Latencies
	// Configuration is the configuration document for nodes.
	Configuration string
	// HopRetries and HopTimeout apply to calls between upstreams without nodes.
	HopRetries int
	HopTimeout time.Duration
	// RegionBlind makes upstreams without nodes choose workers from all regions.
	RegionBlind bool
	// Detached makes upstreams without nodes finish calls whose caller has
	// disconnected.
	Detached bool
}

// Locations returns the location of each worker of a service.
func (t Topology) Locations() []wasabistand.Location {
	var list []wasabistand.Location
	for range t.WorkersPerDomain {
		for d := range t.DomainsPerRegion {
			for _, r := range t.Regions {
				list = append(list, wasabistand.Location{Region: r, FailureDomain: fmt.Sprintf("%s-%d", r, d+1)})
			}
		}
	}
	return list
}

// Capacity returns the maximum throughput of a service in calls per second.
func (t Topology) Capacity(service string) float64 {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == service })
	s := t.Services[i]
	return float64(len(t.Locations())*s.Slots) / s.ServiceTime.Seconds()
}

// Worker is one upstream instance of a service.
type Worker struct {
	Name     string
	Service  string
	Location wasabistand.Location
	Upstream *wasabiupstream.Upstream
	// entryURL is the base URL of the worker's own node, empty without one.
	entryURL string
}

// Entry returns the base URL of the worker's node, or of the worker itself when
// it has none.
func (w *Worker) Entry() string {
	if w.entryURL != "" {
		return w.entryURL
	}
	return w.Upstream.URL()
}

// System is a running topology.
type System struct {
	Network *Network
	Workers []*Worker
	// Ledgers record the work of each service, by its name.
	Ledgers map[string]*wasabiupstream.Ledger

	topology   Topology
	transports []*http.Transport
	random     func(n int) int
	closers    []func() error
}

func newSystem(t Topology, seed uint64) *System {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return &System{
		topology: t,
		Network:  NewNetwork(t.Latencies),
		Ledgers:  map[string]*wasabiupstream.Ledger{},
		random: func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		},
	}
}

func (s *System) transport(configure func(*http.Transport)) *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	configure(t)
	s.transports = append(s.transports, t)
	return t
}

// Client returns an HTTP client with the latency of clients.
func (s *System) Client() *http.Client {
	return &http.Client{Transport: s.transport(func(t *http.Transport) { t.DialContext = s.Network.DialClient })}
}

// ServiceWorkers returns the workers of a service.
func (s *System) ServiceWorkers(service string) []*Worker {
	var list []*Worker
	for _, w := range s.Workers {
		if w.Service == service {
			list = append(list, w)
		}
	}
	return list
}

// SetSlowdown makes calls of a service take factor times its service time.
func (s *System) SetSlowdown(service string, factor float64) {
	for _, w := range s.ServiceWorkers(service) {
		w.Upstream.SetSlowdown(factor)
	}
}

// startUpstream starts one worker of a service. configure sets up its outgoing
// calls.
func (s *System) startUpstream(c Service, index int, at wasabistand.Location, configure func(*Worker, wasabiupstream.Settings) wasabiupstream.Settings) (*Worker, error) {
	if s.Ledgers[c.Name] == nil {
		s.Ledgers[c.Name] = wasabiupstream.NewLedger()
	}
	w := &Worker{Name: fmt.Sprintf("%s-%d", c.Name, index+1), Service: c.Name, Location: at}
	settings := wasabiupstream.NewSettings(c.Name).WithSlots(c.Slots).WithConnections(c.Connections).WithServiceTime(c.ServiceTime).
		WithResponseBytes(c.ResponseBytes).WithLedger(s.Ledgers[c.Name])
	w.Upstream = wasabiupstream.New(configure(w, settings))
	if err := w.Upstream.Start(); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, w.Upstream.Close)
	s.Workers = append(s.Workers, w)
	return w, nil
}

// Entry returns the base URL for one attempt of a client to call a service: the
// entry of a random worker of the service.
func (s *System) Entry(service string) string {
	list := s.ServiceWorkers(service)
	return list[s.random(len(list))].Entry()
}

// Close stops all workers, waits for them, and closes idle connections.
func (s *System) Close() error {
	var err error
	for _, c := range slices.Backward(s.closers) {
		err = errors.Join(err, c())
	}
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
	return err
}

// NewDirect starts upstreams that call each other without nodes or any overload
// control.
func NewDirect(t Topology, seed uint64) (*System, error) {
	s := newSystem(t, seed)
	for _, c := range t.Services {
		for i, at := range t.Locations() {
			w, err := s.startUpstream(c, i, at, s.callDirectly(c))
			if err != nil {
				return nil, errors.Join(err, s.Close())
			}
			s.Network.SetLocation(w.Upstream.URL()[len("http://"):], at)
		}
	}
	return s, nil
}

func (s *System) callDirectly(c Service) func(*Worker, wasabiupstream.Settings) wasabiupstream.Settings {
	return func(w *Worker, settings wasabiupstream.Settings) wasabiupstream.Settings {
		settings = settings.WithDetached(s.topology.Detached)
		if len(c.Downstream) == 0 {
			return settings
		}
		client := &http.Client{
			Timeout:   s.topology.HopTimeout,
			Transport: s.transport(func(t *http.Transport) { t.DialContext = s.Network.DialFrom(w.Location) }),
		}
		// All outgoing calls of a service go to the same downstream service.
		baseURL := func() string {
			list := s.ServiceWorkers(c.Downstream[0].Service)
			if !s.topology.RegionBlind {
				list = slices.DeleteFunc(list, func(other *Worker) bool { return other.Location.Region != w.Location.Region })
			}
			return list[s.random(len(list))].Upstream.URL()
		}
		return settings.WithDownstream(client, baseURL, s.topology.HopRetries, c.Downstream...)
	}
}
