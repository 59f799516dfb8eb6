package wasabicontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabilink"
)

// maxPeers bounds the control instances to which membership is replicated.
const maxPeers = 64

// peerRetryInterval is the pause between attempts to reach another control
// instance.
const peerRetryInterval = 250 * time.Millisecond

// peerLocation is the address and region that another control instance reported.
type peerLocation struct{ address, region string }

// directory holds the addresses of control instances that are sent to nodes.
type directory struct {
	claimAddresses   map[string]*wasabistandv1.AddressList
	controlsByRegion map[string]*wasabistandv1.AddressList
	addresses        []string
}

func (d directory) equal(e directory) bool {
	same := func(a, b *wasabistandv1.AddressList) bool { return slices.Equal(a.GetAddresses(), b.GetAddresses()) }
	return slices.Equal(d.addresses, e.addresses) && maps.EqualFunc(d.claimAddresses, e.claimAddresses, same) && maps.EqualFunc(d.controlsByRegion, e.controlsByRegion, same)
}

// buildDirectory lists the members of all groups. Members of groups that this
// instance belongs to are read from the log, others from the settings.
func (i *Instance) buildDirectory(locations map[string]peerLocation) directory {
	d := directory{claimAddresses: map[string]*wasabistandv1.AddressList{}, controlsByRegion: map[string]*wasabistandv1.AddressList{}}
	seen := map[string]bool{}
	for _, g := range i.settings.groups {
		list := &wasabistandv1.AddressList{}
		if localGroup := i.groups[g.Name]; localGroup != nil {
			for _, m := range localGroup.runner.Status().Members {
				list.Addresses = append(list.Addresses, m.Address)
			}
		}
		if len(list.Addresses) == 0 {
			for _, m := range g.Members {
				list.Addresses = append(list.Addresses, m.Address)
			}
		}
		slices.Sort(list.Addresses)
		d.claimAddresses[g.Region] = list
		for _, a := range list.Addresses {
			seen[a] = true
		}
	}
	d.addresses = slices.Sorted(maps.Keys(seen))
	regionByAddress := map[string]string{i.settings.linkAddress: i.settings.location.Region}
	for _, p := range locations {
		regionByAddress[p.address] = p.region
	}
	for _, a := range d.addresses {
		if r := regionByAddress[a]; r != "" {
			if d.controlsByRegion[r] == nil {
				d.controlsByRegion[r] = &wasabistandv1.AddressList{}
			}
			d.controlsByRegion[r].Addresses = append(d.controlsByRegion[r].Addresses, a)
		}
	}
	return d
}

// watchDirectory checks for changed members periodically. It runs outside the
// hub's goroutine, since it waits for the runners of the groups.
func (i *Instance) watchDirectory(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var locations map[string]peerLocation
		if !i.hub.do(func() { locations = maps.Clone(i.hub.peerLocations) }) {
			return
		}
		d := i.buildDirectory(locations)
		i.hub.do(func() { i.hub.refreshDirectory(d) })
	}
}

func (h *hub) refreshDirectory(d directory) {
	if d.equal(h.directory) {
		return
	}
	h.directory = d
	for _, a := range d.addresses {
		if a != h.instance.settings.linkAddress && h.peers[a] == nil && len(h.peers) < maxPeers {
			h.peers[a] = newPeer(h, a)
		}
	}
	for a, p := range h.peers {
		if !slices.Contains(d.addresses, a) {
			delete(h.peers, a)
			h.wait.Go(p.close)
		}
	}
	h.pushConfigurations(true)
}

// broadcast sends other control instances the changes since the last sync, and a
// summary once per syncInterval.
func (h *hub) broadcast(now time.Time) {
	if !h.registry.HasPendingChanges() && now.Sub(h.lastSync) < syncInterval {
		return
	}
	h.lastSync = now
	m := h.registry.BuildSync(now, false)
	m.SourceAddress, m.SourceRegion = h.instance.settings.linkAddress, h.instance.settings.location.Region
	for _, p := range h.peers {
		p.put(m)
	}
}

// merge applies a membership update of another control instance.
func (h *hub) merge(m *wasabistandv1.MemberSync) {
	if err := h.registry.Merge(time.Now(), m); err != nil {
		h.instance.log.Warn().Str("Source", m.GetSource()).Err(err).Msg("part of the membership update of another control instance was rejected")
	}
	if len(m.GetSourceAddress()) <= 64 && len(m.GetSourceRegion()) <= 128 && (len(h.peerLocations) < maxPeers || h.peerLocations[m.GetSource()].address != "") {
		h.peerLocations[m.GetSource()] = peerLocation{m.GetSourceAddress(), m.GetSourceRegion()}
	}
	h.dirty = true
}

// serveMembers applies the membership updates of another control instance.
func (i *Instance) serveMembers(s *wasabilink.Stream) {
	for {
		m := new(wasabistandv1.MemberSync)
		if s.Receive(m) != nil || !i.hub.do(func() { i.hub.merge(m) }) {
			return
		}
	}
}

// peer sends membership updates to another control instance: the complete list
// when it connects, then the changes.
type peer struct {
	hub     *hub
	address string
	mu      sync.Mutex
	out     *outbox
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

func newPeer(h *hub, address string) *peer {
	p := &peer{hub: h, address: address}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wait.Go(p.run)
	return p
}

func (p *peer) put(m proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out != nil && !p.out.put(m) {
		p.hub.wait.Go(p.out.abort)
		p.out = nil
	}
}

func (p *peer) run() {
	for p.ctx.Err() == nil {
		p.syncUntilClosed()
		t := time.NewTimer(peerRetryInterval)
		select {
		case <-p.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// syncUntilClosed connects to the peer and sends updates until the stream ends.
func (p *peer) syncUntilClosed() {
	ctx, cancel := context.WithTimeout(p.ctx, groupDialTimeout)
	defer cancel()
	link, err := p.hub.instance.pool.Get(ctx, p.address)
	if err != nil {
		return
	}
	stream, err := link.Open(wasabistandv1.StreamOpen_KIND_MEMBERS)
	if err != nil {
		return
	}
	out := newOutbox(stream, &p.hub.instance.metrics.sent, p.hub.instance.settings.maxQueuedBytes)
	defer out.finish(nil, 0)
	if !p.hub.do(func() {
		m := p.hub.registry.BuildSync(time.Now(), true)
		m.SourceAddress, m.SourceRegion = p.hub.instance.settings.linkAddress, p.hub.instance.settings.location.Region
		p.mu.Lock()
		p.out = out
		p.mu.Unlock()
		out.put(m)
	}) {
		return
	}
	// The peer sends nothing on this stream, so a read returns only when the
	// stream ends.
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = stream.Receive(new(wasabistandv1.MemberSync))
	}()
	select {
	case <-closed:
	case <-p.ctx.Done():
	}
	p.mu.Lock()
	p.out = nil
	p.mu.Unlock()
	out.abort()
	<-closed
}

func (p *peer) close() {
	p.cancel()
	p.wait.Wait()
}
