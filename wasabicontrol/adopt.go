package wasabicontrol

import (
	"context"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

const (
	// adoptRetry is how often a home group that lags is looked at without a
	// change of root, as after an election.
	adoptRetry = 250 * time.Millisecond
	// adoptTimeout bounds one adoption.
	adoptTimeout = 2 * time.Second
)

// adopt wakes the goroutines that copy root's revisions into home groups.
func (i *Instance) adopt() {
	for _, c := range i.adopters {
		signal(c)
	}
}

// runAdopter copies each accepted revision of root into a home group while
// this instance leads it. Nodes of the region get it from there, so that they
// can be confirmed while the region is cut off from root.
func (i *Instance) runAdopter(ctx context.Context, g *group, wake <-chan struct{}) {
	t := time.NewTicker(adoptRetry)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-t.C:
		}
		c := i.groups[RootGroup].machine.current.Load()
		if c.revision <= g.machine.current.Load().revision || !g.leads(i.settings.id) {
			continue
		}
		command := &wasabistandv1.AdoptCommand{Revision: c.revision, DocumentRevision: c.document, Toml: c.toml, Drained: c.drained}
		actx, cancel := context.WithTimeout(ctx, adoptTimeout)
		_, err := g.propose(actx, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Adopt{Adopt: command}})
		cancel()
		if err != nil && ctx.Err() == nil {
			i.log.Warn().Str("Group", g.settings.Name).Uint64("Revision", c.revision).Err(err).Msg("revision not adopted yet")
		}
	}
}
