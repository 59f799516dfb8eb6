package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment. They are those of a small installation.
const (
	drainTime         = 2500 * time.Millisecond
	graceTime         = 6 * time.Second
	contactWindow     = 3 * time.Second
	catchUpTime       = 4 * time.Second
	recoveryTime      = 15 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	retryInterval     = 300 * time.Millisecond
)

// Offsets of the ports of each machine.
const (
	offInbound = iota
	offApp
	offReady
	offOutbound
	offControl
	offInternal = 16
	portCount   = offInternal + 16
)

// lab is one run of a case: the processes of the project and the stand-ins around them.
type lab struct {
	root    string // of the repository
	folder  string // temporary
	trouble bool
	prefix  string // of the loopback addresses of the machines
	port    int    // first port of each machine
	started time.Time

	mu       sync.Mutex
	record   *os.File
	broken   []string
	machines []*machine
	closing  bool
	closers  []func()
}

// machine is one machine with its process.
type machine struct {
	lab      *lab
	name     string
	role     string // "control" or "node"
	ip       string
	zone     string
	region   string
	service  string // of the worker
	settings string // path
	seeds    []*machine

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	wanted  bool // false while the test keeps the process down
}

var zones = []struct{ zone, region string }{
	{"lagos-ikeja", "lagos"}, {"rivers-trans", "rivers"}, {"abuja-wuse", "abuja"},
	{"lagos-lekki", "lagos"}, {"rivers-gra", "rivers"}, {"abuja-garki", "abuja"},
}

// newLab opens the record and picks free addresses.
func newLab(root, record string, trouble bool) (*lab, error) {
	l := &lab{root: root, trouble: trouble, started: time.Now()}
	var err error
	if l.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if l.record, err = os.Create(record); err != nil {
		return nil, err
	}
	for range 50 {
		l.prefix = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(180), 1+rand.IntN(250))
		l.port = 20000 + rand.IntN(10000)
		if l.isFree() {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (l *lab) isFree() bool {
	for i := range portCount {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", l.prefix, l.port+i))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// logf writes a line to the record.
func (l *lab) logf(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, a...))
}

// fail records a broken rule.
func (l *lab) fail(rule, format string, a ...any) {
	text := rule + ": " + fmt.Sprintf(format, a...)
	l.logf("BROKEN %s", text)
	l.mu.Lock()
	l.broken = append(l.broken, text)
	l.mu.Unlock()
}

// at returns when something happened, in seconds since the start.
func (l *lab) at(t time.Time) float64 { return t.Sub(l.started).Seconds() }

func (l *lab) onClose(f func()) {
	l.mu.Lock()
	l.closers = append(l.closers, f)
	l.mu.Unlock()
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	l.closing = true
	closers, machines := l.closers, l.machines
	l.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	for _, m := range machines {
		m.end(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
	_ = l.record.Close()
}

// addMachine adds a machine whose process is not started yet.
func (l *lab) addMachine(role, service string) *machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.machines {
		if m.role == role {
			n++
		}
	}
	z := zones[n%len(zones)]
	m := &machine{
		lab: l, role: role, service: service, zone: z.zone, region: z.region,
		name: fmt.Sprintf("%s-%d", role, n+1), ip: fmt.Sprintf("%s%d", l.prefix, len(l.machines)+1),
	}
	m.settings = filepath.Join(l.folder, m.name+".toml")
	l.machines = append(l.machines, m)
	return m
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.lab.port+offset) }

func (m *machine) dataFolder() string { return filepath.Join(m.lab.folder, "data-"+m.name) }

// write writes the settings file. bootstrap is set at the first start of all machines.
func (m *machine) write(bootstrap bool) error {
	class, serves := "sidecar", "sidecar"
	if m.role == "control" {
		class, serves = "core", "control_plane"
	}
	var seeds []string
	for _, s := range m.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(offControl)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[self]\nnode_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = %q\n", m.name, m.role, class, serves, m.ip, m.zone, m.region)
	fmt.Fprintf(&b, "counts_as_loss = %v\nbootstrap = %v\n", m.role == "control", bootstrap)
	if m.role == "control" {
		fmt.Fprintf(&b, "data_dir = %q\n", m.dataFolder())
	} else {
		fmt.Fprintf(&b, "app_address = %q\nservice = %q\n", m.address(offApp), m.service)
	}
	fmt.Fprintf(&b, "[self.limits]\ncpu_share = 0.64\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 256\n")
	fmt.Fprintf(&b, "[network]\ninternal_port_range = [%d,%d]\nseeds = [%s]\n[network.listen]\n", m.lab.port+offInternal, m.lab.port+portCount-1, strings.Join(seeds, ","))
	if m.role == "node" {
		fmt.Fprintf(&b, "inbound = %q\noutbound = %q\nready = %q\n", m.address(offInbound), m.address(offOutbound), m.address(offReady))
	}
	fmt.Fprintf(&b, "control = %q\n[network.zones]\n", m.address(offControl))
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z.zone, z.region)
	}
	b.WriteString("[platform]\ndiscovery = \"local\"\nentry = \"local\"\nheartbeat_s = 1.5\n")
	b.WriteString("[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\"]\n")
	b.WriteString("[terms.fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n")
	b.WriteString("[terms.bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_window_s = 3\nack_s = 4\ncatch_up_s = 4\ndrain_s = 2.5\ngrace_s = 6\nloss_slack_s = 0.2\n")
	b.WriteString("config_apply_s = 2.5\ndowngrade_slack_s = 0.25\npartition_stretch_s = 5\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_extra = 47\nrecovery_s = 15\n")
	if m.role == "control" {
		if err := os.MkdirAll(m.dataFolder(), 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the process. The platform starts a process again that ends by itself.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = true
	return m.startLocked()
}

func (m *machine) startLocked() error {
	out, err := os.OpenFile(filepath.Join(m.lab.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(filepath.Join(m.lab.root, "target", "wasabiplatform"), m.role)
	c.Dir, c.Stdout, c.Stderr = m.lab.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WASABISTAND_NODE_FILE=" + m.settings}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = c, ended
	m.lab.logf("%s started, process %d", m.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		close(ended)
		m.mu.Lock()
		again := m.wanted && m.process == c && !m.lab.isClosing()
		m.mu.Unlock()
		m.lab.logf("%s process %d ended: %v", m.name, c.Process.Pid, err)
		if !again {
			return
		}
		m.lab.logf("%s ENDED BY ITSELF", m.name)
		time.Sleep(300 * time.Millisecond)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.wanted && m.process == c && !m.lab.isClosing() {
			_ = m.startLocked()
		}
	}()
	return nil
}

func (l *lab) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// end ends the process with a signal and waits for it.
func (m *machine) end(s syscall.Signal) {
	m.mu.Lock()
	m.wanted = false
	c, ended := m.process, m.ended
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(s)
	if s != syscall.SIGKILL {
		select {
		case <-ended:
			return
		case <-time.After(graceTime):
			_ = c.Process.Signal(syscall.SIGKILL)
		}
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	<-ended
}

// expectEnd records that the test ends the process, so that it isn't started again.
func (m *machine) expectEnd() {
	m.mu.Lock()
	m.wanted = false
	m.mu.Unlock()
}

// signal sends a signal and leaves the process to itself.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lab.logf("%s gets %v", m.name, s)
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}
