package wasabiupstream

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// Header names that the upstream reads, forwards or sets.
const (
	headerRequest = "Wasabi-Request"
	headerCall    = "Wasabi-Call"
	headerService = "Wasabi-Service"
	headerShed    = "Wasabi-Shed"
	headerTimeout = "Wasabi-Timeout"
	headerKey     = "Idempotency-Key"
)

// HealthPath is the path of the health endpoint, which also reports the slots.
const HealthPath = "/-/health"

// Upstream is a fake upstream instance. It is safe for concurrent use.
type Upstream struct {
	settings Settings
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	started  time.Time
	slowdown atomic.Uint64 // percent
	draining atomic.Bool
	server   *http.Server
	address  string
	wait     sync.WaitGroup
}

// New returns an upstream that is not yet listening. It can be used as an
// http.Handler.
func New(s Settings) *Upstream {
	u := &Upstream{settings: s, slots: make(chan struct{}, s.slots), started: time.Now()}
	u.slowdown.Store(100)
	return u
}

// Start listens on a loopback address and serves calls.
func (u *Upstream) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.address = ln.Addr().String()
	if n := u.settings.connections; n > 0 {
		ln = netutil.LimitListener(ln, n)
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	u.wait.Go(func() { _ = u.server.Serve(ln) })
	return nil
}

// URL returns the base URL.
func (u *Upstream) URL() string { return "http://" + u.address }

// SetSlowdown makes each call take factor times its service time.
func (u *Upstream) SetSlowdown(factor float64) { u.slowdown.Store(uint64(factor * 100)) }

// Drain makes the upstream shed all further calls.
func (u *Upstream) Drain() { u.draining.Store(true) }

// Running returns how many calls hold a slot.
func (u *Upstream) Running() int { return int(u.running.Load()) }

// Close closes all connections and waits for the server to stop.
func (u *Upstream) Close() error {
	if u.server == nil {
		return nil
	}
	err := u.server.Close()
	u.wait.Wait()
	return err
}

// String names the implementation.
func (u *Upstream) String() string { return "fake upstream " + u.settings.service }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		status, slots := u.settings.health(u.settings.slots)
		w.WriteHeader(status)
		fmt.Fprintf(w, "Slots = %d\n", slots)
		return
	}
	ctx := r.Context()
	if u.settings.detached {
		ctx = context.WithoutCancel(ctx)
	} else if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64); err == nil && ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if u.draining.Load() || u.waiting.Load() >= int64(u.settings.queue) {
		w.Header().Set(headerShed, r.Header.Get(headerCall))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	request := r.Header.Get(headerRequest)
	// The body is read completely before the work starts, as by a server that
	// stores it.
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !u.acquire(ctx) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	// The slot is held during outgoing calls, as by a server with one thread
	// per call.
	defer u.release()
	u.settings.ledger.recordStart(request, r.Header.Get(headerKey))
	if !u.work(ctx, request) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if err := u.callDownstream(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s answers %s of %d bytes\n", u.settings.service, request, size)
	_, _ = io.WriteString(w, strings.Repeat(".", u.settings.responseBytes))
}

// ResponsePrefix returns the beginning of the response to a request.
func ResponsePrefix(service, request string) string {
	return fmt.Sprintf("%s answers %s ", service, request)
}

func (u *Upstream) acquire(ctx context.Context) bool {
	u.waiting.Add(1)
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		u.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) release() {
	u.running.Add(-1)
	<-u.slots
}

// work waits for the service time and reports whether it has passed before ctx is
// done. The caller holds a slot.
func (u *Upstream) work(ctx context.Context, request string) bool {
	d := u.settings.serviceTime * time.Duration(u.slowdown.Load()) / 100
	if c := u.settings.coldStart; c > 0 {
		if remaining := c - time.Since(u.started); remaining > 0 {
			d = time.Duration(float64(d) * (1 + (u.settings.coldFactor-1)*float64(remaining)/float64(c)))
		}
	}
	start := time.Now()
	defer func() { u.settings.ledger.addWork(request, time.Since(start)) }()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) callDownstream(ctx context.Context, r *http.Request) error {
	var group sync.WaitGroup
	errs := make([]error, len(u.settings.downstream))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, call := range u.settings.downstream {
		if !call.Parallel {
			group.Wait()
		}
		group.Go(func() {
			if errs[i] = u.callWithRetries(ctx, r, call); errs[i] != nil {
				cancel() // The request fails, so its concurrent calls are cancelled.
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (u *Upstream) callWithRetries(ctx context.Context, r *http.Request, call DownstreamCall) error {
	var err error
	for range u.settings.hopRetries + 1 {
		if err = u.attempt(ctx, r, call); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (u *Upstream) attempt(ctx context.Context, r *http.Request, call DownstreamCall) error {
	out, err := http.NewRequestWithContext(ctx, call.Method, u.settings.baseURL()+call.Path, nil)
	if err != nil {
		return err
	}
	out.Header.Set(headerService, call.Service)
	for _, h := range []string{headerRequest, headerCall, headerKey} {
		if v := r.Header.Get(h); v != "" {
			out.Header.Set(h, v)
		}
	}
	resp, err := u.settings.client.Do(out)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", call.Service, resp.StatusCode)
	}
	if want := ResponsePrefix(call.Service, r.Header.Get(headerRequest)); !strings.HasPrefix(string(body), want) {
		return fmt.Errorf("%s: response begins with %.60q, want %q", call.Service, body, want)
	}
	return nil
}
