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

// maxPeers bounds the other control instances that are kept in step.
const maxPeers = 64

// peerRetry is the pause between attempts to reach another control instance.
const peerRetry = 250 * time.Millisecond

// peerPlace is where another control instance says that it is.
type peerPlace struct{ address, region string }

// directory tells nodes where control is.
type directory struct {
	homes   map[string]*wasabistandv1.AddressList
	regions map[string]*wasabistandv1.AddressList
	all     []string
}

func (d directory) equal(e directory) bool {
	same := func(a, b *wasabistandv1.AddressList) bool { return slices.Equal(a.GetAddresses(), b.GetAddresses()) }
	return slices.Equal(d.all, e.all) && maps.EqualFunc(d.homes, e.homes, same) && maps.EqualFunc(d.regions, e.regions, same)
}

// findDirectory lists the members of all groups. Those of the groups that this
// instance takes part in come from the log, others from the settings.
func (i *Instance) findDirectory(regions map[string]peerPlace) directory {
	d := directory{homes: map[string]*wasabistandv1.AddressList{}, regions: map[string]*wasabistandv1.AddressList{}}
	seen := map[string]bool{}
	for _, g := range i.settings.groups {
		list := &wasabistandv1.AddressList{}
		if own := i.groups[g.Name]; own != nil {
			for _, m := range own.runner.Status().Members {
				list.Addresses = append(list.Addresses, m.Address)
			}
		}
		if len(list.Addresses) == 0 {
			for _, m := range g.Members {
				list.Addresses = append(list.Addresses, m.Address)
			}
		}
		slices.Sort(list.Addresses)
		d.homes[g.Region] = list
		for _, a := range list.Addresses {
			seen[a] = true
		}
	}
	d.all = slices.Sorted(maps.Keys(seen))
	places := map[string]string{i.settings.linkAddress: i.settings.location.Region}
	for _, p := range regions {
		places[p.address] = p.region
	}
	for _, a := range d.all {
		if r := places[a]; r != "" {
			if d.regions[r] == nil {
				d.regions[r] = &wasabistandv1.AddressList{}
			}
			d.regions[r].Addresses = append(d.regions[r].Addresses, a)
		}
	}
	return d
}

// watchDirectory looks for changed members off the hub's goroutine, since it
// waits for the groups' runners.
func (i *Instance) watchDirectory(ctx context.Context) {
	t := time.NewTicker(syncEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var regions map[string]peerPlace
		if !i.hub.do(func() { regions = maps.Clone(i.hub.regions) }) {
			return
		}
		d := i.findDirectory(regions)
		i.hub.do(func() { i.hub.refreshDirectory(d) })
	}
}

func (h *hub) refreshDirectory(d directory) {
	if d.equal(h.directory) {
		return
	}
	h.directory = d
	for _, a := range d.all {
		if a != h.instance.settings.linkAddress && h.peers[a] == nil && len(h.peers) < maxPeers {
			h.peers[a] = newPeer(h, a)
		}
	}
	for a, p := range h.peers {
		if !slices.Contains(d.all, a) {
			delete(h.peers, a)
			h.wait.Go(p.close)
		}
	}
	h.pushConfigurations(true)
}

// broadcast tells other control instances what changed since the last time.
func (h *hub) broadcast(now time.Time) {
	if !h.registry.HasPendingChanges() && now.Sub(h.synced) < syncEvery {
		return
	}
	h.synced = now
	m := h.registry.BuildSync(now, false)
	m.SourceAddress, m.SourceRegion = h.instance.settings.linkAddress, h.instance.settings.location.Region
	for _, p := range h.peers {
		p.put(m)
	}
}

// merge takes over what another control instance tells.
func (h *hub) merge(m *wasabistandv1.MemberSync) {
	if err := h.registry.Merge(time.Now(), m); err != nil {
		h.instance.log.Warn().Str("Source", m.GetSource()).Err(err).Msg("membership of another control instance is not allowed in part")
	}
	if len(m.GetSourceAddress()) <= 64 && len(m.GetSourceRegion()) <= 128 && (len(h.regions) < maxPeers || h.regions[m.GetSource()].address != "") {
		h.regions[m.GetSource()] = peerPlace{m.GetSourceAddress(), m.GetSourceRegion()}
	}
	h.dirty = true
}

// serveMembers takes in what one other control instance tells.
func (i *Instance) serveMembers(s *wasabilink.Stream) {
	for {
		m := new(wasabistandv1.MemberSync)
		if s.Receive(m) != nil || !i.hub.do(func() { i.hub.merge(m) }) {
			return
		}
	}
}

// peer sends to one other control instance: the whole list when it connects,
// then changes.
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
		p.serve()
		t := time.NewTimer(peerRetry)
		select {
		case <-p.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

func (p *peer) serve() {
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
	out := newOutbox(stream, p.hub.instance.settings.maxQueuedBytes)
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
	// The peer sends nothing on this stream; a read ends with it.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = stream.Receive(new(wasabistandv1.MemberSync))
	}()
	select {
	case <-ended:
	case <-p.ctx.Done():
	}
	p.mu.Lock()
	p.out = nil
	p.mu.Unlock()
	out.abort()
	<-ended
}

func (p *peer) close() {
	p.cancel()
	p.wait.Wait()
}
