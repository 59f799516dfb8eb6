package wasabimember_test

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
)

const (
	controls       = 3
	nodes          = 9
	step           = 250 * time.Millisecond
	suspectTimeout = 10 * time.Second
)

var start = time.Unix(1_800_000_000, 0)

// node is the actual state of a simulated node.
type node struct {
	instance wasabistand.Instance
	alive    bool
	control  int
	// announced is true if the current session has announced the instance.
	announced bool
	renewed   time.Time
}

type client struct {
	control int
	version uint64
	list    map[string]*wasabistandv1.Instance
}

type message struct {
	from, to int
	at       time.Time
	sync     *wasabistandv1.MemberSync
}

// network simulates registries that exchange sync messages over a faulty
// network.
type network struct {
	pick        func(n int) int
	now         time.Time
	registries  [controls]*wasabimember.Registry
	epochs      uint64
	nodes       [nodes]*node
	clients     [controls]*client
	inFlight    []message
	partitioned [controls][controls]bool
	// leaving holds, for each registry, the incarnations of the instances that it
	// has received as leaving, by ID.
	leaving [controls]map[string]uint64
	// lastSequence is the highest sequence received by a registry from each
	// source.
	lastSequence   [controls]map[string]uint64
	faultsDisabled bool
}

func newNetwork(pick func(n int) int) *network {
	n := &network{pick: pick, now: start}
	for i := range n.registries {
		n.restart(i)
		n.clients[i] = &client{control: i, list: make(map[string]*wasabistandv1.Instance)}
	}
	for i := range n.nodes {
		n.nodes[i] = &node{alive: true, control: i % controls, instance: instance(i)}
	}
	return n
}

func (n *network) restart(i int) {
	n.epochs++
	n.registries[i] = wasabimember.New(wasabimember.NewOptions(fmt.Sprint("control-", i), n.epochs).WithMassExpiry(20, 3, suspectTimeout))
	n.leaving[i], n.lastSequence[i] = make(map[string]uint64), make(map[string]uint64)
	for _, c := range n.nodes {
		if c != nil && c.control == i {
			c.announced = false
		}
	}
	n.inFlight = slices.DeleteFunc(n.inFlight, func(m message) bool { return m.to == i })
}

// advance simulates one time step: faults, nodes, ticks, syncs, clients.
func (n *network) advance() error {
	n.now = n.now.Add(step)
	if !n.faultsDisabled {
		n.fault()
	}
	for _, c := range n.nodes {
		n.runNode(c)
	}
	for i, r := range n.registries {
		r.Tick(n.now)
		if n.now.Sub(start)%time.Second == 0 || r.HasPendingChanges() {
			n.broadcast(i)
		}
	}
	if err := n.deliver(); err != nil {
		return err
	}
	for i := range n.registries {
		if err := n.checkLeaving(i); err != nil {
			return err
		}
	}
	for _, c := range n.clients {
		if err := n.runClient(c); err != nil {
			return err
		}
	}
	return nil
}

func (n *network) fault() {
	c := n.nodes[n.pick(nodes)]
	switch n.pick(40) {
	case 0: // The node restarts, sometimes with another address.
		c.alive, c.announced = true, false
		c.instance.Incarnation, c.instance.Sequence, c.instance.State = c.instance.Incarnation+1, 1, wasabistand.Ready
		if n.pick(2) == 0 {
			c.instance.LinkAddress = fmt.Sprintf("127.0.0.2:%d", 7000+n.pick(1000))
		}
	case 1:
		c.alive = false
	case 2, 3:
		c.instance.State, c.announced = wasabistand.Leaving, false
		c.instance.Sequence++
	case 4, 5: // The session moves to another control instance.
		c.control, c.announced = n.pick(controls), false
		c.instance.Sequence++
	case 6:
		n.restart(n.pick(controls))
	case 7, 8:
		a, b := n.pick(controls), n.pick(controls)
		n.partitioned[a][b] = a != b && !n.partitioned[a][b]
	case 9:
		n.partitioned = [controls][controls]bool{}
	case 10:
		n.clients[n.pick(controls)].control = n.pick(controls)
	case 11: // All nodes of a control instance lose contact with it for a while.
		isolated := n.pick(controls)
		for _, c := range n.nodes {
			if c.control == isolated {
				c.renewed = n.now.Add(4 * time.Second)
			}
		}
	}
}

func (n *network) runNode(c *node) {
	if !c.alive || n.now.Sub(c.renewed) < time.Second {
		return
	}
	r, i := n.registries[c.control], &c.instance
	if !c.announced {
		if r.Announce(n.now, *i) != nil {
			return
		}
		c.announced, c.renewed = true, n.now
		if i.State == wasabistand.Leaving {
			n.leaving[c.control][i.ID] = i.Incarnation
			if n.pick(2) == 0 {
				r.Disconnect(n.now, i.ID, i.Incarnation, i.Sequence)
				c.alive = false
			}
		}
		return
	}
	if r.Renew(n.now, i.ID, i.Incarnation, i.Sequence, uint64(n.pick(3))) != nil {
		c.announced = false
		i.Sequence++
		return
	}
	c.renewed = n.now
}

func (n *network) broadcast(from int) {
	m := n.registries[from].BuildSync(n.now, false)
	for to := range n.registries {
		if to == from || n.partitioned[from][to] {
			continue
		}
		copies, delay := 1, time.Duration(0)
		if !n.faultsDisabled {
			copies, delay = []int{1, 1, 1, 1, 0, 2}[n.pick(6)], time.Duration(n.pick(8)/5)*step*7
		}
		for c := range copies {
			n.inFlight = append(n.inFlight, message{from, to, n.now.Add(delay + time.Duration(c)*3*step), m})
		}
	}
}

func (n *network) deliver() error {
	for k := 0; k < len(n.inFlight); k++ {
		m := n.inFlight[k]
		if m.at.After(n.now) {
			continue
		}
		n.inFlight = slices.Delete(n.inFlight, k, k+1)
		k--
		// Each receiver gets a clone, since a message that a receiver changes
		// would affect the others.
		if err := n.registries[m.to].Merge(n.now, proto.Clone(m.sync).(*wasabistandv1.MemberSync)); err != nil {
			return err
		}
		source := fmt.Sprint(m.sync.Source, m.sync.Epoch)
		if m.sync.Sequence <= n.lastSequence[m.to][source] {
			// Registries ignore messages that arrive after a later one. Links
			// between them preserve the order, so this only affects duplicates.
			continue
		}
		n.lastSequence[m.to][source] = m.sync.Sequence
		for _, u := range m.sync.Upserts {
			if u.State == wasabistandv1.InstanceState_INSTANCE_STATE_LEAVING {
				n.leaving[m.to][u.Id] = u.Incarnation
			}
		}
	}
	return nil
}

// checkLeaving checks that a registry, once it has received that an instance is
// leaving, never lists that incarnation as accepting calls again.
func (n *network) checkLeaving(i int) error {
	for _, c := range n.registries[i].List("archive") {
		if c.AcceptsCalls() && c.Incarnation == n.leaving[i][c.ID] {
			return fmt.Errorf("control-%d lists %+v after receiving that it is leaving", i, c)
		}
	}
	return nil
}

func (n *network) runClient(c *client) error {
	r := n.registries[c.control]
	if d := r.Delta("archive", c.version); d != nil {
		if d.BaseVersion == 0 {
			clear(c.list)
		} else if d.BaseVersion != c.version {
			return fmt.Errorf("delta from %d, requested from %d", d.BaseVersion, c.version)
		}
		for _, i := range d.Upserts {
			c.list[i.Id] = i
		}
		for _, id := range d.Removes {
			delete(c.list, id)
		}
		c.version = d.Version
	}
	full := r.Delta("archive", 0)
	if len(full.Upserts) != len(c.list) {
		return fmt.Errorf("client holds %d instances, the list %d", len(c.list), len(full.Upserts))
	}
	for _, i := range full.Upserts {
		if !proto.Equal(i, c.list[i.Id]) {
			return fmt.Errorf("client holds %v, the list %v", c.list[i.Id], i)
		}
	}
	return nil
}

// checkConvergence ends all faults and checks that after suspectTimeout all
// registries list exactly the running instances and send no further changes.
func (n *network) checkConvergence() error {
	n.faultsDisabled, n.partitioned = true, [controls][controls]bool{}
	for range int(3 * suspectTimeout / step) {
		if err := n.advance(); err != nil {
			return err
		}
	}
	var want []string
	for _, c := range n.nodes {
		if c.alive {
			want = append(want, describe(c.instance))
		}
	}
	for i, r := range n.registries {
		var got []string
		for _, c := range r.List("") {
			got = append(got, describe(c))
		}
		if !slices.Equal(got, want) {
			return fmt.Errorf("control-%d lists %v, alive are %v", i, got, want)
		}
		if s := r.BuildSync(n.now, false); len(s.Upserts)+len(s.Removes)+len(s.WantFull) > 0 {
			return fmt.Errorf("control-%d still sends %v", i, s)
		}
	}
	return nil
}

func describe(i wasabistand.Instance) string {
	return fmt.Sprint(i.ID, " ", i.Incarnation, " ", i.Sequence, " ", i.LinkAddress, " ", i.State, " ", i.Suspect)
}
