package wasabicontrol

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/internal/operate/wasabilog"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// Parts holds the dependencies of a control instance. All are optional.
type Parts struct {
	Log    *zerolog.Logger
	Clock  *wasabievent.Clock
	Events *wasabievent.Ring
	// LinkListener and APIListener replace the listeners that Start opens.
	LinkListener net.Listener
	APIListener  net.Listener
	// Links modifies the default link options, nil for no change.
	Links func(wasabilink.Options) wasabilink.Options
	// Raft replaces the default settings of the replicated log unless it is
	// the zero value.
	Raft wasabiraft.Settings
	// Disk replaces the operating system's file system.
	Disk wasabidisk.FS
	// Reopened is the number of instances that ran before in this process.
	Reopened uint64
	// KnownAddresses are link addresses at which the group may be found, besides those
	// of the settings.
	KnownAddresses []string
}

// Instance is one control instance. It is safe for concurrent use.
type Instance struct {
	settings Settings
	parts    Parts
	log      zerolog.Logger
	lines    *wasabilog.Limiter
	metrics  *metrics

	folder          *wasabidisk.Folder
	groups          map[string]*group
	configCopyWakes []chan struct{}
	pool            *wasabilink.Pool
	hub             *hub
	linkListener    *wasabilink.Listener
	apiServer       *http.Server
	stopping        atomic.Bool
	// handingOver is set once the instance prepares its planned stop.
	handingOver atomic.Bool
	handOver    sync.Once
	handOverErr error
	// membership is nil unless the root group replaces its members.
	membership *membershipManager

	// ready is closed once all fields are set; incoming streams wait for it.
	ready        chan struct{}
	failedSignal chan struct{}
	failedOnce   sync.Once
	ctx          context.Context
	cancel       context.CancelFunc
	wait         sync.WaitGroup
	closeOnce    sync.Once
	closeErr     error
}

// New checks the settings and returns an instance that has not started.
func New(s Settings, p Parts) (*Instance, error) {
	if len(s.groups) == 0 {
		s.groups = []Group{{Name: RootGroup, Members: []Member{{ID: s.id, Address: s.linkAddress}}}}
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	if p.Clock == nil {
		p.Clock = wasabievent.NewClock(time.Now)
	}
	if p.Events == nil {
		p.Events = wasabievent.NewRing(s.id, 10_000, p.Clock)
	}
	if p.Disk == nil {
		p.Disk = wasabidisk.OS{}
	}
	if p.Raft == (wasabiraft.Settings{}) {
		p.Raft = wasabiraft.NewSettings()
	}
	i := &Instance{settings: s, parts: p, groups: map[string]*group{}, ready: make(chan struct{}), failedSignal: make(chan struct{})}
	if p.Log != nil {
		i.log = *p.Log
	} else {
		i.log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: time.RFC3339}).With().Timestamp().Logger()
	}
	i.log = i.log.With().Str("Control", s.id).Logger()
	i.lines = wasabilog.NewLimiter(time.Now, func(kind string, omitted int) {
		i.log.Info().Str("Kind", kind).Int("Lines", omitted).Msg("lines left out")
	})
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.metrics = newMetrics(i)
	return i, nil
}

// Start opens the data folder, joins the groups and begins to serve.
func (i *Instance) Start() error {
	if err := i.start(); err != nil {
		_ = i.Close()
		return Error.Wrap(err)
	}
	i.log.Info().Str("Links", i.settings.linkAddress).Str("API", i.settings.apiAddress).Msg("control instance started")
	return nil
}

func (i *Instance) start() (err error) {
	o := wasabilink.NewOptions(i.settings.cluster, i.settings.id, uint64(time.Now().UnixNano())).
		WithClock(i.parts.Clock).WithMaxFrameBytes(linkFrameBytes).WithMaxLinks(2 * i.settings.maxSessions)
	if i.parts.Links != nil {
		o = i.parts.Links(o)
	}
	if i.parts.LinkListener == nil {
		if i.parts.LinkListener, err = net.Listen("tcp", i.settings.linkAddress); err != nil {
			return err
		}
	}
	if i.parts.APIListener == nil {
		if i.parts.APIListener, err = net.Listen("tcp", i.settings.apiAddress); err != nil {
			return err
		}
	}
	if i.folder, err = wasabidisk.Open(i.parts.Disk, i.settings.folder, i.settings.cluster); err != nil {
		return err
	}
	i.pool = wasabilink.NewPool(o, nil)
	i.hub = newHub(i)
	for _, g := range i.settings.groups {
		if !g.includes(i.settings.id) {
			continue
		}
		opened, err := openGroup(i.settings, g, i.folder, i.parts.Raft, i.pool, &i.metrics.sent, groupRecorder{i.parts.Events, i.log, g.Name}, func() { signal(i.hub.configChanged) })
		if err != nil {
			return err
		}
		i.groups[g.Name] = opened
	}
	for name, g := range i.groups {
		i.wait.Go(func() { i.monitorQuorum(g) })
		if name != RootGroup {
			wake := make(chan struct{}, 1)
			i.configCopyWakes = append(i.configCopyWakes, wake)
			i.wait.Go(func() { i.runConfigCopier(i.ctx, g, wake) })
		}
	}
	// The link listener starts after the groups, since its streams use them;
	// other instances retry until then.
	i.linkListener = wasabilink.Serve(i.parts.LinkListener, o, i.serveStream)
	go i.hub.run()
	if i.settings.maxDiskLosses > 0 {
		i.membership = newMembershipManager(i, i.groups[RootGroup])
		i.wait.Go(func() { i.membership.run(i.ctx) })
	}
	i.wait.Go(func() { i.watchDirectory(i.ctx) })
	close(i.ready)
	i.serveAPI()
	return nil
}

// linkFrameBytes exceeds the size of the largest command and its frame.
const linkFrameBytes = 8 << 20

func (i *Instance) serveStream(ctx context.Context, kind wasabistandv1.StreamOpen_Kind, s *wasabilink.Stream) {
	select {
	case <-i.ready:
	case <-i.ctx.Done():
		return
	}
	switch kind {
	case wasabistandv1.StreamOpen_KIND_GROUP, wasabistandv1.StreamOpen_KIND_MEMBERS, wasabistandv1.StreamOpen_KIND_FORWARD:
		if i.settings.maxDiskLosses > 0 {
			// A group that replaces its members may be led by a member that
			// this instance does not know yet. The cluster name was checked.
			break
		}
		if peer := s.Link().Peer().Instance; !i.isMember(peer) {
			i.log.Warn().Str("Peer", peer).Int32("kind", int32(kind)).Msg("stream rejected: peer is not a member of a group")
			return
		}
	}
	switch kind {
	case wasabistandv1.StreamOpen_KIND_SESSION:
		i.serveSession(ctx, s)
	case wasabistandv1.StreamOpen_KIND_CLAIMS:
		i.serveClaims(s)
	case wasabistandv1.StreamOpen_KIND_GROUP:
		i.serveGroup(s)
	case wasabistandv1.StreamOpen_KIND_MEMBERS:
		i.serveMembers(s)
	case wasabistandv1.StreamOpen_KIND_FORWARD:
		i.serveForward(ctx, s)
	case wasabistandv1.StreamOpen_KIND_JOIN:
		i.serveJoin(ctx, s)
	default:
		i.log.Warn().Str("Peer", s.Link().Peer().Instance).Int32("kind", int32(kind)).Msg("stream rejected: unsupported kind")
	}
}

// isMember reports whether an instance is a member of any group, according to
// the log or the settings; a joining instance has only the settings. Only
// members may send commands, votes and membership updates.
func (i *Instance) isMember(id string) bool {
	for _, g := range i.settings.groups {
		if slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id }) {
			return true
		}
		if localGroup := i.groups[g.Name]; localGroup != nil && slices.ContainsFunc(localGroup.runner.Status().Members, func(m wasabiraft.MemberStatus) bool { return m.ID == id }) {
			return true
		}
	}
	return false
}

func (i *Instance) serveGroup(s *wasabilink.Stream) {
	for {
		f := new(wasabistandv1.GroupFrame)
		if s.Receive(f) != nil {
			return
		}
		g := i.groups[f.GetGroup()]
		if g == nil || f.GetCluster() != i.settings.cluster {
			i.log.Warn().Str("Peer", s.Link().Peer().Instance).Str("Group", f.GetGroup()).Msg("messages rejected: group is not served")
			return
		}
		for _, m := range f.GetMessages() {
			g.runner.Step(m)
		}
	}
}

// monitorQuorum confirms the state periodically, so that a loss of the quorum is
// detected, and keeps the group's limits up to date.
func (i *Instance) monitorQuorum(g *group) {
	t := time.NewTicker(i.settings.confirmInterval)
	defer t.Stop()
	for {
		_ = g.confirmer.confirm(i.ctx)
		if err := g.proposeLimits(i.ctx, i.settings); err != nil && i.ctx.Err() == nil {
			i.log.Warn().Str("Group", g.settings.Name).Err(err).Msg("limits not applied yet")
		}
		select {
		case <-i.ctx.Done():
			return
		case <-g.runner.Done():
			if err := g.runner.Err(); err != nil {
				i.log.Error().Str("Group", g.settings.Name).Err(err).Msg("replica stopped")
				i.failedOnce.Do(func() { close(i.failedSignal) })
			}
			return
		case <-t.C:
		}
	}
}

// Failed returns a channel that is closed when a replica has ended by an error. The
// instance must then be closed and started again.
func (i *Instance) Failed() <-chan struct{} { return i.failedSignal }

// hasRecentQuorum reports whether the quorums of all groups confirmed the state
// recently.
func (i *Instance) hasRecentQuorum() bool {
	for _, g := range i.groups {
		if g.confirmer.sinceConfirmed(time.Now()) > i.settings.quorumLossTimeout {
			return false
		}
	}
	return true
}

// Shutdown hands over, redirects the sessions to other control instances and closes. The
// context bounds the hand-over and the shutdown of the API.
func (i *Instance) Shutdown(ctx context.Context) error {
	if i.stopping.Swap(true) {
		return i.Close()
	}
	i.log.Info().Msg("control instance stopping")
	i.parts.Events.Record(wasabistand.Event{Kind: wasabistand.EventShutdown})
	var failures []error
	if err := i.HandOver(ctx); err != nil {
		failures = append(failures, err)
	}
	for _, g := range i.groups {
		if err := g.runner.Transfer(ctx); err != nil {
			failures = append(failures, err)
		}
	}
	if i.hub != nil && i.linkListener != nil {
		var list []*outbox
		i.hub.do(func() { list = i.hub.stopSessions() })
		i.linkListener.GoAway(reasonStopping)
		// Each refusal is sent or abandoned within refusalTimeout.
		for _, o := range list {
			o.wait.Wait()
		}
	}
	if i.apiServer != nil {
		failures = append(failures, i.apiServer.Shutdown(ctx))
	}
	return errors.Join(append(failures, i.Close())...)
}

// Close stops the instance immediately and waits for its goroutines.
func (i *Instance) Close() error {
	i.closeOnce.Do(func() { i.closeErr = i.close() })
	return i.closeErr
}

func (i *Instance) close() error {
	i.stopping.Store(true)
	i.cancel()
	var failures []error
	if i.apiServer != nil {
		_ = i.apiServer.Close()
	}
	for _, ln := range []net.Listener{i.parts.LinkListener, i.parts.APIListener} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	if i.linkListener != nil {
		close(i.hub.stop)
		<-i.hub.done
		failures = append(failures, i.linkListener.Close())
		for _, p := range i.hub.peers {
			p.close()
		}
		i.hub.wait.Wait()
	}
	i.wait.Wait()
	for _, g := range i.groups {
		failures = append(failures, g.close())
	}
	if i.pool != nil {
		failures = append(failures, i.pool.Close())
	}
	if i.folder != nil {
		failures = append(failures, i.folder.Close())
	}
	return errors.Join(failures...)
}

// String returns a short description of the instance.
func (i *Instance) String() string { return "control(" + i.settings.id + ")" }
