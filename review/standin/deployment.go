package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. Machines differ in their loopback address.
const (
	portApp      = 28301
	portReady    = 28302
	portOutbound = 28304
	portControl  = 28306
	portInternal = 27620
	portsInside  = 16
)

// Bounds of the sites that the settings and the checks use.
const (
	drainTime      = 2500 * time.Millisecond
	contactWindow  = 3 * time.Second
	heartbeatEvery = 1500 * time.Millisecond
)

// deployment is a small deployment of the project's programs on loopback addresses.
type deployment struct {
	record  *record
	program string
	folder  string
	prefix  string // the first two bytes of all addresses
	host    int
	started time.Time
	mu      sync.Mutex
	running []*process
	closed  bool
	control []*machine
	cores   int // of a machine
}

// machine is one machine with its process.
type machine struct {
	name, ip, role, zone, region, service string
	process                               *process
}

// process is one process of the project that this program started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

var zones = []struct{ zone, region string }{
	{"lagos-ikeja", "lagos"}, {"rivers-trans", "rivers"}, {"abuja-wuse", "abuja"},
	{"lagos-lekki", "lagos"}, {"rivers-gra", "rivers"}, {"abuja-garki", "abuja"},
}

// newDeployment chooses addresses that are free.
func newDeployment(r *record) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, started: time.Now(), program: filepath.Join(root, "target", "wasabiplatform"), folder: folder, cores: 1}
	if _, err := os.Stat(d.program); err != nil {
		return nil, err
	}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", d.prefix+".1:"+fmt.Sprint(portControl))
		if err == nil {
			_ = ln.Close()
			d.closeOnSignal()
			return d, nil
		}
	}
	return nil, errors.New("no free address")
}

// maxCaseTime bounds a case. It ends with exitNotRun then.
const maxCaseTime = 116 * time.Second

// closeOnSignal ends all processes and this one on a signal or after maxCaseTime.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxCaseTime):
		}
		d.record.printf("result: not run: ended early")
		d.record.close()
		d.close()
		os.Exit(exitNotRun)
	}()
}

// timeLeft returns how long the case may still take.
func (d *deployment) timeLeft() time.Duration { return maxCaseTime - time.Since(d.started) }

func (d *deployment) address() string {
	d.host++
	return fmt.Sprintf("%s.%d", d.prefix, d.host)
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// newMachine returns a machine that has not started.
func (d *deployment) newMachine(role, service string) *machine {
	ip := d.address()
	z := zones[d.host%len(zones)]
	return &machine{name: role + "-" + strings.ReplaceAll(ip, ".", "-"), ip: ip, role: role, zone: z.zone, region: z.region, service: service}
}

// addControl adds the five control machines of a site.
func (d *deployment) addControl() {
	for range 5 {
		d.control = append(d.control, d.newMachine("control", ""))
	}
}

// settings returns the settings file of a machine, as `fleetbench wire` shows it.
func (d *deployment) settings(m *machine, bootstrap bool) string {
	var b strings.Builder
	class := "sidecar"
	if m.role == "control" {
		class = "core"
	}
	fmt.Fprintf(&b, "[self]\nnode_name = %q\nrole = %q\nmachine_class = %q\nip = %q\nzone = %q\nregion = %q\nbootstrap = %v\n", m.name, m.role, class, m.ip, m.zone, m.region, bootstrap)
	if m.role == "control" {
		fmt.Fprintf(&b, "serves = [\"control_plane\"]\ncounts_as_loss = true\ndata_dir = %q\n", filepath.Join(d.folder, m.name))
	} else {
		fmt.Fprintf(&b, "serves = [\"sidecar\"]\ncounts_as_loss = false\napp_address = %q\nservice = %q\n", m.at(portApp), m.service)
	}
	b.WriteString("[self.limits]\n")
	fmt.Fprintf(&b, "cpu_share = 0.96\ncores = %d\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 256\n", d.cores)
	var seeds []string
	for _, c := range d.control[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", c.at(portControl)))
	}
	fmt.Fprintf(&b, "[network]\ninternal_port_range = [%d,%d]\nseeds = [%s]\n[network.listen]\n", portInternal, portInternal+portsInside-1, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "control = %q\n", m.at(portControl))
	if m.role == "node" {
		fmt.Fprintf(&b, "outbound = %q\nready = %q\ninbound = %q\n", m.at(portOutbound), m.at(portReady), m.at(28300))
	}
	b.WriteString("[platform]\ndiscovery = \"local\"\nentry = \"local\"\nheartbeat_s = 1.5\n[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\"]\n")
	b.WriteString("[terms.fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[terms.bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_window_s = 3\nack_s = 4\ncatch_up_s = 4\ndrain_s = 2.5\ngrace_s = 6\nloss_slack_s = 0.2\nconfig_apply_s = 2.5\ndowngrade_slack_s = 0.25\npartition_stretch_s = 5\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_extra = 47\nrecovery_s = 15\n")
	return b.String()
}

// start starts the process of a machine.
func (d *deployment) start(m *machine, bootstrap bool) error {
	path := filepath.Join(d.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(filepath.Join(d.folder, m.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(d.program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C", "WASABISTAND_NODE_FILE=" + path}
	c.Stdout, c.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errors.New("the deployment is closed")
	}
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{command: c, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	m.process = p
	d.running = append(d.running, p)
	return nil
}

// ended reports whether the process of a machine has ended.
func (m *machine) ended() bool {
	select {
	case <-m.process.done:
		return true
	default:
		return false
	}
}

// log returns the output of a machine's process.
func (d *deployment) log(m *machine) string {
	b, _ := os.ReadFile(filepath.Join(d.folder, m.name+".log"))
	return string(b)
}

// startAll starts the control machines and the given nodes.
func (d *deployment) startAll(nodes ...*machine) error {
	for _, m := range append(append([]*machine(nil), d.control...), nodes...) {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.mu.Lock()
	list := d.running
	d.closed = true
	d.mu.Unlock()
	for _, p := range list {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range list {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// manifestRoute is one route of a manifest.
type manifestRoute struct {
	name, kind, prefix, service string
	timeout                     float64
	attempts, priority          int
}

const manifestHost = "hulo84.example"

// manifest returns a manifest with the given routes.
func manifest(version int, list []manifestRoute) []byte {
	var rules, clusters []any
	seen := map[string]bool{}
	for _, r := range list {
		rules = append(rules, map[string]any{
			"name": r.name, "route_type": r.kind, "target_latency_s": 1.5, "priority": r.priority,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_s": r.timeout, "max_attempts": r.attempts},
		})
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, map[string]any{"name": r.service, "health_check_path": "/health", "max_connections": 484, "protocol": "h1", "tls": false})
		}
	}
	b, _ := json.Marshal(map[string]any{
		"version":   version,
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": manifestHost, "rules": rules}}, "clusters": clusters,
	})
	return b
}

// order sends a manifest to a control machine once and returns the status, 0 for none.
func (d *deployment) order(c *machine, base int, text []byte) (int, error) {
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.at(portControl)+"/Config.Replace", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Base-Version", fmt.Sprint(base))
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}

// replace sends a manifest until it is accepted.
func (d *deployment) replace(base int, text []byte) error {
	limit := time.Now().Add(25 * time.Second)
	for k := 0; time.Now().Before(limit); k++ {
		c := d.control[k%len(d.control)]
		if status, _ := d.order(c, base, text); status == http.StatusOK {
			d.record.printf("manifest acknowledged by %s", c.name)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the manifest was not accepted")
}

// awaitReady waits until all nodes respond with 200 to the platform's question.
func (d *deployment) awaitReady(nodes ...*machine) error {
	client := &http.Client{Timeout: time.Second}
	limit := time.Now().Add(25 * time.Second)
	for _, m := range nodes {
		for {
			response, err := client.Get("http://" + m.at(portReady) + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return errors.New(m.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
