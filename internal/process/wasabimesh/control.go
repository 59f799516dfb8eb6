package wasabimesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabidisk"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiprocess"
	"github.com/wasabistand/wasabistand/wasabiraft"
)

// Timeouts and limits of control instances whose group forms automatically.
const (
	// electionTimeout is 25 round trips between regions, so that the
	// retransmission of lost packets causes no election.
	electionTimeout   = time.Second
	electionHeartbeat = 200 * time.Millisecond
	// A control instance that is cut off keeps its sessions for quorumLossTimeout, and
	// nodes need up to half a second to find another one. Both together must stay well
	// below the time in which a configuration must be applied, 2.5 s.
	confirmTimeout    = 600 * time.Millisecond
	confirmInterval   = 400 * time.Millisecond
	quorumLossTimeout = 1200 * time.Millisecond
	// snapshotEntries and trailingEntries bound the size of the log on a small
	// disk, since a document of many routes fills most of an entry.
	snapshotEntries   = 64
	trailingEntries   = 32
	maxRevisions      = 32
	maxRevisionBytes  = 4 << 20
	maxSessions       = 4096
	sessionQueueBytes = 4 << 20
	sessionSlowAfter  = 2 * time.Second
	announcementLease = 3 * time.Second
	shutdownTimeout   = 3 * time.Second
)

// ControlSettings holds the settings of a control instance. It is immutable.
type ControlSettings struct {
	Cluster  string
	Instance string
	Location wasabistand.Location
	Folder   string
	// Link, API and Operators are the addresses on which the instance listens.
	Link, API, Operators string
	// LinkListen, if set, is where the instance accepts links in place of Link. What
	// listens on Link must forward connections to it.
	LinkListen string
	// InitialMembers are the members of a new group.
	InitialMembers []wasabicontrol.Member
	// Join reports whether the group exists already or is bootstrapped by other
	// instances.
	Join bool
	// ToleratedDiskLosses is the number of disks that may be lost at the same time.
	ToleratedDiskLosses int
	// Links modifies the options of links, nil for no change.
	Links func(wasabilink.Options) wasabilink.Options
	// Disk replaces the operating system's file system, nil for no replacement.
	Disk wasabidisk.FS
}

// ControlDaemon runs a control instance as a daemon.
type ControlDaemon struct {
	settings ControlSettings
	log      zerolog.Logger
	handler  func(*ControlDaemon) http.Handler

	supervisor *wasabicontrol.Supervisor
	server     *http.Server

	mu sync.Mutex
	// addresses are those of SetControlAddresses.
	addresses []string
}

var _ wasabiprocess.Daemon = (*ControlDaemon)(nil)

// NewControl returns a control instance that has not started. handler returns
// the HTTP handler for operators.
func NewControl(s ControlSettings, log zerolog.Logger, handler func(*ControlDaemon) http.Handler) *ControlDaemon {
	c := &ControlDaemon{settings: s, log: log, handler: handler}
	c.supervisor = wasabicontrol.NewSupervisor(wasabicontrol.SupervisorConfig{Open: c.open, Log: log})
	return c
}

// Instance returns the running control instance, or nil if there is none.
func (c *ControlDaemon) Instance() *wasabicontrol.Instance { return c.supervisor.Instance() }

// SetControlAddresses sets the link addresses of control instances in settings that were
// read again. The instance looks for its group there too.
func (c *ControlDaemon) SetControlAddresses(list ...string) {
	c.mu.Lock()
	c.addresses = slices.Clone(list)
	c.mu.Unlock()
	if i := c.Instance(); i != nil {
		i.AddControlAddresses(list...)
	}
}

func (c *ControlDaemon) controlAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses
}

// Start implements wasabiprocess.Daemon.
func (c *ControlDaemon) Start(context.Context) error {
	if err := c.supervisor.Start(c.settings.Join); err != nil {
		return err
	}
	var err error
	c.server, err = serve(c.settings.Operators, c.handler(c), c.log)
	return err
}

func (c *ControlDaemon) open(o wasabicontrol.Opening) (*wasabicontrol.Instance, error) {
	s := c.settings
	var links net.Listener
	if s.LinkListen != "" {
		var err error
		if links, err = net.Listen("tcp", s.LinkListen); err != nil {
			return nil, err
		}
	}
	i, err := wasabicontrol.New(wasabicontrol.NewSettings(s.Cluster, s.Instance, s.Folder).
		WithLocation(s.Location).WithAddresses(s.Link, s.API).
		WithGroups(wasabicontrol.Group{Name: wasabicontrol.RootGroup, Members: s.InitialMembers, Join: o.Join}).
		WithSessions(maxSessions, sessionQueueBytes, sessionSlowAfter).WithLease(announcementLease).
		WithConfirm(confirmTimeout, confirmInterval, quorumLossTimeout).
		WithAutoMembership(s.ToleratedDiskLosses).WithRevisions(maxRevisions, maxRevisionBytes),
		wasabicontrol.Parts{
			Log: &c.log, Disk: s.Disk, Reopened: o.Reopened, KnownAddresses: slices.Concat(c.controlAddresses(), o.KnownAddresses), LinkListener: links,
			Links: func(o wasabilink.Options) wasabilink.Options {
				o = o.WithHeartbeat(linkPingInterval, linkSuspectAfter, linkSilentAfter)
				if s.Links != nil {
					o = s.Links(o)
				}
				return o
			},
			Raft: wasabiraft.NewSettings().WithElection(electionTimeout, electionHeartbeat).
				WithSnapshots(snapshotEntries, trailingEntries),
		})
	if err != nil {
		if links != nil {
			err = errors.Join(err, links.Close())
		}
		return nil, err
	}
	if err := i.Start(); err != nil {
		return nil, err
	}
	return i, nil
}

// Shutdown implements wasabiprocess.Daemon.
func (c *ControlDaemon) Shutdown(ctx context.Context) error {
	// The supervision ends first, so that no instance is opened meanwhile.
	c.supervisor.Stop()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	// An operator's request that is still served must not take the time of the hand-over.
	var handOver sync.WaitGroup
	handOver.Go(func() {
		if i := c.Instance(); i != nil {
			if err := i.HandOver(ctx); err != nil {
				c.log.Warn().Err(err).Msg("handing over failed")
			}
		}
	})
	err := c.server.Shutdown(ctx)
	handOver.Wait()
	return errors.Join(err, c.supervisor.Shutdown(ctx))
}

// Close implements wasabiprocess.Daemon.
func (c *ControlDaemon) Close() error {
	c.supervisor.Stop()
	var list []error
	if c.server != nil {
		list = append(list, c.server.Close())
	}
	return errors.Join(append(list, c.supervisor.Close())...)
}

// String returns the role and the instance.
func (c *ControlDaemon) String() string { return "control " + c.settings.Instance }
