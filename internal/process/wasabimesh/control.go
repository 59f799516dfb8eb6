package wasabimesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicontrol"
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
}

// ControlDaemon runs a control instance as a daemon.
type ControlDaemon struct {
	settings ControlSettings
	log      zerolog.Logger
	handler  func(*ControlDaemon) http.Handler

	mu       sync.Mutex
	instance *wasabicontrol.Instance
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once
	wait     sync.WaitGroup
}

var _ wasabiprocess.Daemon = (*ControlDaemon)(nil)

// NewControl returns a control instance that has not started. handler returns
// the HTTP handler for operators.
func NewControl(s ControlSettings, log zerolog.Logger, handler func(*ControlDaemon) http.Handler) *ControlDaemon {
	return &ControlDaemon{settings: s, log: log, handler: handler, stop: make(chan struct{})}
}

// Instance returns the running control instance, or nil if there is none.
func (c *ControlDaemon) Instance() *wasabicontrol.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance
}

// Start implements wasabiprocess.Daemon.
func (c *ControlDaemon) Start(context.Context) error {
	i, err := c.open(c.settings.Join)
	if err != nil {
		return err
	}
	if c.server, err = serve(c.settings.Operators, c.handler(c), c.log); err != nil {
		return err
	}
	c.wait.Go(func() { c.restartAfterRemoval(i) })
	return nil
}

func (c *ControlDaemon) open(join bool) (*wasabicontrol.Instance, error) {
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
		WithGroups(wasabicontrol.Group{Name: wasabicontrol.RootGroup, Members: s.InitialMembers, Join: join}).
		WithSessions(maxSessions, sessionQueueBytes, sessionSlowAfter).WithLease(announcementLease).
		WithConfirm(confirmTimeout, confirmInterval, quorumLossTimeout).
		WithAutoMembership(s.ToleratedDiskLosses).WithRevisions(maxRevisions, maxRevisionBytes),
		wasabicontrol.Parts{
			Log: &c.log, LinkListener: links,
			Links: func(o wasabilink.Options) wasabilink.Options {
				return o.WithHeartbeat(linkPingInterval, linkSuspectAfter, linkSilentAfter)
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
	c.mu.Lock()
	c.instance = i
	c.mu.Unlock()
	return i, nil
}

// restartAfterRemoval restarts the instance on an empty data folder each time
// the group has removed its disk.
func (c *ControlDaemon) restartAfterRemoval(i *wasabicontrol.Instance) {
	for {
		select {
		case <-c.stop:
			return
		case <-i.Removed():
		}
		c.mu.Lock()
		c.instance = nil
		c.mu.Unlock()
		if err := i.Close(); err != nil {
			c.log.Warn().Err(err).Msg("closing the removed instance failed")
		}
		if err := removeContents(c.settings.Folder); err != nil {
			c.log.Error().Err(err).Msg("emptying the data folder failed")
			return
		}
		var err error
		if i, err = c.open(true); err != nil {
			c.log.Error().Err(err).Msg("restart on an empty data folder failed")
			return
		}
	}
}

// removeContents removes everything in a folder.
func removeContents(folder string) error {
	list, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	var failed []error
	for _, e := range list {
		failed = append(failed, os.RemoveAll(filepath.Join(folder, e.Name())))
	}
	return errors.Join(failed...)
}

// Shutdown implements wasabiprocess.Daemon.
func (c *ControlDaemon) Shutdown(ctx context.Context) error {
	c.stopOnce.Do(func() { close(c.stop) })
	c.wait.Wait()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := c.server.Shutdown(ctx)
	if i := c.Instance(); i != nil {
		err = errors.Join(err, i.Shutdown(ctx))
	}
	return err
}

// Close implements wasabiprocess.Daemon.
func (c *ControlDaemon) Close() error {
	c.stopOnce.Do(func() { close(c.stop) })
	c.wait.Wait()
	var list []error
	if c.server != nil {
		list = append(list, c.server.Close())
	}
	if i := c.Instance(); i != nil {
		list = append(list, i.Close())
	}
	return errors.Join(list...)
}

// String returns the role and the instance.
func (c *ControlDaemon) String() string { return "control " + c.settings.Instance }
