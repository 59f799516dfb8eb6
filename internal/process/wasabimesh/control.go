package wasabimesh

import (
	"context"
	"errors"
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

// Times and bounds of control in a deployment that forms itself.
const (
	// electionTimeout is 25 round trips between regions, so that lost packets
	// that are sent again cause no election.
	electionTimeout   = time.Second
	electionHeartbeat = 200 * time.Millisecond
	confirmTimeout    = 900 * time.Millisecond
	confirmEvery      = 700 * time.Millisecond
	unconfirmedAfter  = 1800 * time.Millisecond
	// snapshotEvery and trailing bound the log on a small disk: documents of
	// many routes take most of an entry.
	snapshotEvery   = 64
	trailingEntries = 32
	keptRevisions   = 32
	keptBytes       = 4 << 20
	maxSessions     = 4096
	sessionBytes    = 4 << 20
	sessionSlow     = 2 * time.Second
	lease           = 3 * time.Second
	shutdownTime    = 3 * time.Second
)

// Control is the settings of a control instance: an immutable value.
type Control struct {
	Cluster  string
	Instance string
	Location wasabistand.Location
	Folder   string
	// Link, API and Operators are where the instance listens.
	Link, API, Operators string
	// First are the members of a new group.
	First []wasabicontrol.Member
	// Join says that the group exists, or is begun by others.
	Join bool
	// Losses is how many disks may be lost at once.
	Losses int
}

// ControlDaemon is a control instance as a daemon.
type ControlDaemon struct {
	settings Control
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

// NewControl returns a control instance that has not started. handler makes
// what it serves to operators.
func NewControl(s Control, log zerolog.Logger, handler func(*ControlDaemon) http.Handler) *ControlDaemon {
	return &ControlDaemon{settings: s, log: log, handler: handler, stop: make(chan struct{})}
}

// Instance returns the running control instance, nil while there is none.
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
	c.wait.Go(func() { c.follow(i) })
	return nil
}

func (c *ControlDaemon) open(join bool) (*wasabicontrol.Instance, error) {
	s := c.settings
	i, err := wasabicontrol.New(wasabicontrol.NewSettings(s.Cluster, s.Instance, s.Folder).
		WithLocation(s.Location).WithAddresses(s.Link, s.API).
		WithGroups(wasabicontrol.Group{Name: wasabicontrol.RootGroup, Members: s.First, Join: join}).
		WithSessions(maxSessions, sessionBytes, sessionSlow).WithLease(lease).
		WithConfirm(confirmTimeout, confirmEvery, unconfirmedAfter).
		WithFormation(s.Losses).WithRevisions(keptRevisions, keptBytes),
		wasabicontrol.Parts{
			Log: &c.log,
			Links: func(o wasabilink.Options) wasabilink.Options {
				return o.WithHeartbeat(linkPing, linkSuspect, linkSilent)
			},
			Raft: wasabiraft.NewSettings().WithElection(electionTimeout, electionHeartbeat).
				WithSnapshots(snapshotEvery, trailingEntries),
		})
	if err != nil {
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

// follow starts the instance anew on an empty folder when the group has
// removed its disk.
func (c *ControlDaemon) follow(i *wasabicontrol.Instance) {
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
			c.log.Warn().Err(err).Msg("removed instance closed")
		}
		if err := empty(c.settings.Folder); err != nil {
			c.log.Error().Err(err).Msg("data folder not emptied")
			return
		}
		var err error
		if i, err = c.open(true); err != nil {
			c.log.Error().Err(err).Msg("instance not started on an empty folder")
			return
		}
	}
}

// empty removes what a data folder holds.
func empty(folder string) error {
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
	ctx, cancel := context.WithTimeout(ctx, shutdownTime)
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

// String returns the instance.
func (c *ControlDaemon) String() string { return "control " + c.settings.Instance }
