package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const host = "jepu9.example"

var nextID atomic.Uint64

func newID() string { return fmt.Sprintf("9c41d07b%08x", nextID.Add(1)) }

// answer is what a client saw.
type answer struct {
	id             string
	sent, received time.Time
	status         int
	signature      string
	echoed         string
	body           []byte
	retryAfter     string
	err            error // the connection ended or the client gave up
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s after %.3f s: status %d, %v", a.id, a.received.Sub(a.sent).Seconds(), a.status, a.err)
	}
	return fmt.Sprintf("%s after %.3f s: %d, %d bytes, signed %v, %q", a.id, a.received.Sub(a.sent).Seconds(), a.status, len(a.body), a.signature != "", firstLine(a.body[:min(len(a.body), 120)]))
}

// call sends one request on a new connection.
func (l *lab) call(m *machine, method, path string, body []byte, timeout time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	defer func() { l.logf("client of %s: %s %s %s", m.name, method, path, a) }()
	c, err := net.DialTimeout("tcp", m.address(offOutbound), time.Second)
	if err != nil {
		a.err, a.received = err, time.Now()
		return a
	}
	defer c.Close()
	a = l.exchange(c, bufio.NewReader(c), a.id, method, path, body, timeout)
	return a
}

func head(id, method, path string, length int, timeout time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\n", method, path, host, id, timeout.Milliseconds())
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// exchange sends a request on a connection and reads the answer.
func (l *lab) exchange(c net.Conn, r *bufio.Reader, id, method, path string, body []byte, timeout time.Duration) answer {
	a := answer{id: id, sent: time.Now()}
	_ = c.SetDeadline(time.Now().Add(timeout + time.Second))
	go func() { _, _ = c.Write(append(head(id, method, path, len(body), timeout), body...)) }()
	a.read(r, method)
	return a
}

// read reads the answer to a request.
func (a *answer) read(r *bufio.Reader, method string) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	a.received = time.Now()
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.signature, a.echoed, a.retryAfter = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Header.Get("Request-Id"), resp.Header.Get("Retry-After")
	a.body, a.err = io.ReadAll(resp.Body)
	a.received = time.Now()
}

// isPromise reports whether the answer says that the request has not run.
func (a answer) isPromise() bool {
	return a.err == nil && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421)
}

// ready reports whether a node says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(offReady) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// route is a route of a manifest.
type route struct {
	prefix, kind, service string
	timeout               float64
}

// manifest returns the text of a manifest.
func manifest(version uint64, services []string, routes []route) []byte {
	return manifestWithHealth(version, services, routes, "/health")
}

// manifestWithHealth returns the text of a manifest whose services have a health path.
func manifestWithHealth(version uint64, services []string, routes []route, path string) []byte {
	type action struct {
		Service     string  `json:"service"`
		TimeoutS    float64 `json:"timeout_s"`
		MaxAttempts int     `json:"max_attempts"`
	}
	type match struct {
		PathPrefix string `json:"path_prefix"`
	}
	type rule struct {
		Name           string  `json:"name"`
		RouteType      string  `json:"route_type"`
		TargetLatencyS float64 `json:"target_latency_s"`
		Priority       int     `json:"priority"`
		Match          match   `json:"match"`
		Action         action  `json:"action"`
	}
	var rules []rule
	for _, r := range routes {
		rules = append(rules, rule{"r-" + r.prefix[1:len(r.prefix)-1], r.kind, 1.5, 1, match{r.prefix}, action{r.service, r.timeout, 2}})
	}
	var clusters []any
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_check_path": path, "max_connections": 484, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version":   version,
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	return b
}

// replace sends a manifest once and returns the status, 0 for no clear response.
func (l *lab) replace(m *machine, base uint64, text []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest("POST", "http://"+m.address(offControl)+"/Config.Replace", bytes.NewReader(text))
	r.Header.Set("Base-Version", fmt.Sprint(base))
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		l.logf("operator at %s: replace on %d: %v", m.name, base, err)
		return 0
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	l.logf("operator at %s: replace on %d: %d %q", m.name, base, resp.StatusCode, firstLine(b))
	return resp.StatusCode
}

// order sends a manifest to one control instance after the other until it has a clear answer.
func (l *lab) order(controls []*machine, base uint64, text []byte, limit time.Duration) int {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		switch s := l.replace(controls[i%len(controls)], base, text); s {
		case 200, 400, 409, 412, 413, 422:
			return s
		}
		time.Sleep(time.Duration(100+50*min(i, 8)) * time.Millisecond)
	}
	return 0
}

// fleet is the usual deployment of a case.
type fleet struct {
	controls, nodes []*machine
	workers         []*worker
	runs            *runs
}

// startFleet starts five control instances and one node with its worker for each entry
// of services, applies the routes and waits until all nodes are ready.
func (l *lab) startFleet(services []string, routes []route) (*fleet, error) {
	f, names, err := l.startMachines(services)
	if err != nil {
		return nil, err
	}
	if err := f.startWorkers(l); err != nil {
		return nil, err
	}
	return f, f.begin(l, manifest(1, names, routes))
}

// startMachines starts the project's processes. It returns the names of the services.
func (l *lab) startMachines(services []string) (*fleet, []string, error) {
	f := &fleet{runs: &runs{}}
	for range 5 {
		f.controls = append(f.controls, l.addMachine("control", ""))
	}
	for _, s := range services {
		f.nodes = append(f.nodes, l.addMachine("node", s))
	}
	for _, m := range l.machines {
		m.seeds = f.controls[:3]
		if err := m.write(true); err != nil {
			return nil, nil, err
		}
		if err := m.start(); err != nil {
			return nil, nil, err
		}
	}
	seen := map[string]bool{}
	var names []string
	for i, m := range f.nodes {
		if !seen[m.service] {
			seen[m.service], names = true, append(names, m.service)
		}
		f.workers = append(f.workers, newWorker(m, fmt.Sprintf("i-7f3a91%02x", i+1), f.runs))
	}
	return f, names, nil
}

// startWorkers starts the workers.
func (f *fleet) startWorkers(l *lab) error {
	for _, w := range f.workers {
		if err := w.start(time.Now()); err != nil {
			return err
		}
		l.onClose(w.crash)
	}
	return nil
}

// begin sends the first manifest and waits until all nodes are ready.
func (f *fleet) begin(l *lab, text []byte) error {
	if s := l.order(f.controls, 0, text, 20*time.Second); s != 200 {
		return fmt.Errorf("the first manifest is not acknowledged: %d", s)
	}
	end := time.Now().Add(15 * time.Second)
	for _, m := range f.nodes {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
