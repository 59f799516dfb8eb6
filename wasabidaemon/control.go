package wasabidaemon

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabicontrol"
	"github.com/wasabistand/wasabistand/wasabievent"
	"github.com/wasabistand/wasabistand/wasabiprocess"
	"github.com/wasabistand/wasabistand/wasabiraft"
	"github.com/wasabistand/wasabistand/wasabisettings"
)

// Limits of a session that are not part of the settings: the queue holds two
// documents of the largest size with the lists of all services, and the session
// of a node that reads nothing for sessionSlowAfter is closed.
const (
	sessionQueueBytes = 4 << 20
	sessionSlowAfter  = 5 * time.Second
)

// Control runs a control instance as a daemon.
type Control struct {
	settings   wasabisettings.ControlInstance
	log        zerolog.Logger
	supervisor *wasabicontrol.Supervisor
}

var _ wasabiprocess.Daemon = (*Control)(nil)

// NewControl returns a control instance that has not started.
func NewControl(s wasabisettings.ControlInstance, log zerolog.Logger) *Control {
	c := &Control{settings: s, log: log}
	c.supervisor = wasabicontrol.NewSupervisor(wasabicontrol.SupervisorConfig{Open: c.open, Log: log})
	return c
}

// Start implements wasabiprocess.Daemon.
func (c *Control) Start(context.Context) error { return c.supervisor.Start(false) }

// open starts an instance.
func (c *Control) open(o wasabicontrol.Opening) (*wasabicontrol.Instance, error) {
	s := c.settings
	if o.Join {
		s.Groups = slices.Clone(s.Groups)
		for k := range s.Groups {
			s.Groups[k].Join = s.Groups[k].Join || slices.ContainsFunc(s.Groups[k].Members, func(m wasabisettings.Member) bool { return m.Instance == s.Instance })
		}
	}
	clock := wasabievent.NewClock(time.Now)
	raft := wasabiraft.NewSettings()
	i, err := wasabicontrol.New(controlSettings(s), wasabicontrol.Parts{
		Log: &c.log, Clock: clock, Events: wasabievent.NewRing(s.Instance, s.Limits.Events, clock),
		Raft: raft.WithSnapshots(s.Limits.SnapshotEntries, raft.TrailingEntries), Reopened: o.Reopened, KnownAddresses: o.KnownAddresses,
	})
	if err != nil {
		return nil, err
	}
	if err := i.Start(); err != nil {
		return nil, err
	}
	return i, nil
}

func controlSettings(s wasabisettings.ControlInstance) wasabicontrol.Settings {
	var groups []wasabicontrol.Group
	for _, g := range s.Groups {
		group := wasabicontrol.Group{Name: g.Name, Region: g.Region, Join: g.Join}
		for _, m := range g.Members {
			group.Members = append(group.Members, wasabicontrol.Member{ID: m.Instance, Address: m.Address})
		}
		groups = append(groups, group)
	}
	var tokens []wasabicontrol.Token
	for _, t := range s.Tokens {
		right := wasabicontrol.Read
		if t.Right == wasabisettings.RightChange {
			right = wasabicontrol.Change
		}
		tokens = append(tokens, wasabicontrol.Token{Name: t.Operator, Token: t.Token, Right: right})
	}
	return wasabicontrol.NewSettings(s.Cluster, s.Instance, s.DataFolder).
		WithLocation(wasabistand.Location{Region: s.Region, FailureDomain: s.FailureDomain}).
		WithAddresses(s.Listen.Link, s.Listen.API).
		WithGroups(groups...).WithTokens(tokens...).
		WithSessions(s.Limits.MaxSessions, sessionQueueBytes, sessionSlowAfter).
		WithClaims(s.Limits.ClaimRetention.Duration, s.Limits.MaxClaims, s.Limits.MaxAnswerBytes)
}

// Shutdown implements wasabiprocess.Daemon.
func (c *Control) Shutdown(ctx context.Context) error { return c.supervisor.Shutdown(ctx) }

// Close implements wasabiprocess.Daemon.
func (c *Control) Close() error { return c.supervisor.Close() }

// String returns the role and the instance.
func (c *Control) String() string { return "control " + c.settings.Instance }
