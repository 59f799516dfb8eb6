package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/wasabistand/wasabistand/internal/soak/wasabifleet"
)

// Ports of each machine. Machines differ in their loopback address.
const (
	portApp      = 28401
	portReady    = 28402
	portInbound  = 28403
	portOutbound = 28404
	portControl  = 28406
	portInternal = 27720
	portsInside  = 16
)

// controls is the number of control instances of the deployment, and listed the number
// of them that a settings file lists.
const (
	controls = 5
	listed   = 3
)

// zones are the failure domains and regions of the control instances.
var zones = []struct{ zone, region string }{
	{"lagos-ikeja", "lagos"}, {"rivers-trans", "rivers"}, {"abuja-wuse", "abuja"}, {"lagos-lekki", "lagos"}, {"rivers-gra", "rivers"},
}

// machine is a machine and its process: a control instance, or a node if it has a service.
type machine struct {
	name    string
	ip      string
	place   int
	service string
	process *wasabifleet.Process
	// gone is set once the machine was removed for good.
	gone bool
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) address() string { return m.at(portControl) }

// role returns the role of the deploy file.
func (m *machine) role() string {
	if m.service != "" {
		return "node"
	}
	return "control"
}

// deployment is a set of machines, of which some may have been replaced.
type deployment struct {
	record   *recorder
	program  string
	folder   string
	network  string
	fleet    *wasabifleet.Fleet
	machines []*machine
	// acknowledged is the latest version that a control instance acknowledged.
	acknowledged uint64
}

// newDeployment chooses a free network of loopback addresses and a temporary folder.
func newDeployment(program string, r *recorder) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, program: program, folder: folder, fleet: wasabifleet.New(folder)}
	const attempts = 50
	for range attempts {
		d.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if d.isFree() {
			return d, nil
		}
	}
	d.close()
	return nil, fmt.Errorf("no free network of loopback addresses after %d attempts", attempts)
}

// isFree reports whether the ports of all machines that may be started can be used.
func (d *deployment) isFree() bool {
	for host := 1; host <= 2*controls; host++ {
		for _, port := range []int{portApp, portReady, portInbound, portOutbound, portControl, portInternal, portInternal + 1, portInternal + 2} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.network, host, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	_ = d.fleet.Close()
	_ = os.RemoveAll(d.folder)
}

// add adds a machine with an empty disk at an address of its own.
func (d *deployment) add(place int) *machine {
	host := len(d.machines) + 1
	m := &machine{name: fmt.Sprintf("core-%s-%d", zones[place].zone, host), ip: fmt.Sprintf("%s.%d", d.network, host), place: place}
	d.machines = append(d.machines, m)
	return m
}

// present returns the machines with a control instance that were not removed.
func (d *deployment) present() []*machine {
	var list []*machine
	for _, m := range d.machines {
		if !m.gone && m.service == "" {
			list = append(list, m)
		}
	}
	return list
}

// settings returns the settings file of a machine, with the fields of the platform. seeds
// are the first machines that are present when the file is written.
func (d *deployment) settings(m *machine, bootstrap bool) string {
	var seeds []string
	for _, s := range d.present()[:listed] {
		seeds = append(seeds, fmt.Sprintf("%q", s.address()))
	}
	z := zones[m.place]
	var b strings.Builder
	role, class, serves := m.role(), "core", "control_plane"
	if m.service != "" {
		class, serves = "sidecar", "sidecar"
	}
	fmt.Fprintf(&b, "[self]\nnode_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = %q\nbootstrap = %t\n", m.name, role, class, serves, m.ip, z.zone, z.region, bootstrap)
	if m.service == "" {
		fmt.Fprintf(&b, "counts_as_loss = true\ndata_dir = %q\n", d.dataFolder(m))
		b.WriteString("[self.limits]\ncpu_share = 0.96\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 256\n")
	} else {
		fmt.Fprintf(&b, "counts_as_loss = false\napp_address = %q\nservice = %q\n", m.at(portApp), m.service)
		b.WriteString("[self.limits]\ncpu_share = 0.64\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n")
	}
	fmt.Fprintf(&b, "[network]\ninternal_port_range = [%d, %d]\nseeds = [%s]\n[network.listen]\ncontrol = %q\n", portInternal, portInternal+portsInside-1, strings.Join(seeds, ", "), m.address())
	if m.service != "" {
		fmt.Fprintf(&b, "outbound = %q\nready = %q\ninbound = %q\n", m.at(portOutbound), m.at(portReady), m.at(portInbound))
	}
	b.WriteString("[network.zones]\n")
	for _, x := range zones {
		fmt.Fprintf(&b, "%s = %q\n", x.zone, x.region)
	}
	b.WriteString("[platform]\ndiscovery = \"local\"\nentry = \"local\"\nheartbeat_s = 1.5\n")
	b.WriteString("[terms]\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"pressure\"]\n[terms.fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n")
	b.WriteString("[terms.bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_window_s = 3\nack_s = 4\ncatch_up_s = 4\ndrain_s = 2.5\ngrace_s = 6\nloss_slack_s = 0.2\nconfig_apply_s = 2.5\n")
	b.WriteString("downgrade_slack_s = 0.25\npartition_stretch_s = 5\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_extra = 47\nrecovery_s = 15\n")
	return b.String()
}

func (d *deployment) dataFolder(m *machine) string { return filepath.Join(d.folder, m.name) }

// start writes the settings file of a machine and starts its process.
func (d *deployment) start(m *machine, bootstrap bool) error {
	if err := os.MkdirAll(d.dataFolder(m), 0o700); err != nil {
		return err
	}
	path := filepath.Join(d.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	p, err := d.fleet.Start(m.name, d.program, []string{m.role()}, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WASABISTAND_NODE_FILE=" + path})
	if err != nil {
		return err
	}
	m.process = p
	d.record.printf("%s (%s) starts, bootstrap = %t", m.name, m.ip, bootstrap)
	return nil
}

// addNode adds a machine with a node beside a worker of a service.
func (d *deployment) addNode(place int, service string) *machine {
	m := d.add(place)
	m.name, m.service = fmt.Sprintf("sidecar-%s-%d", zones[place].zone, len(d.machines)), service
	return m
}

// startAll starts the deployment for the first time and sends the first manifest.
func (d *deployment) startAll(ctx context.Context) error {
	for place := range controls {
		d.add(place)
	}
	for _, m := range d.machines {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return d.change(ctx)
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) error {
	d.record.printf("%s gets %s", m.name, s)
	return m.process.Signal(s)
}

// kill kills the process of a machine and waits for its end.
func (d *deployment) kill(m *machine) error {
	if err := d.signal(m, syscall.SIGKILL); err != nil {
		return err
	}
	<-m.process.Done()
	return nil
}

// replace removes a machine for good and adds an empty one at another address a second
// later.
func (d *deployment) replace(ctx context.Context, m *machine) error {
	if err := d.kill(m); err != nil {
		return err
	}
	m.gone = true
	d.record.printf("%s is gone for good", m.name)
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	return d.start(d.add(m.place), false)
}

// restart kills the process of a machine and starts it again on its disk.
func (d *deployment) restart(ctx context.Context, m *machine) error {
	if err := d.kill(m); err != nil {
		return err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	return d.start(m, false)
}

// loseDisks kills the processes of machines, empties their disks and starts them again.
func (d *deployment) loseDisks(ctx context.Context, list ...*machine) error {
	for _, m := range list {
		if err := d.kill(m); err != nil {
			return err
		}
	}
	for _, m := range list {
		if err := os.RemoveAll(d.dataFolder(m)); err != nil {
			return err
		}
		d.record.printf("%s has lost its disk", m.name)
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	for _, m := range list {
		if err := d.start(m, false); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a time. The error is that of the context.
func sleep(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
