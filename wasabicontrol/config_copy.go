package wasabicontrol

import (
	"context"
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

const (
	// configCopyInterval is how often a home group is checked for a lagging
	// revision when root has not changed, as after an election.
	configCopyInterval = 250 * time.Millisecond
	// configCopyTimeout bounds one attempt to copy a revision.
	configCopyTimeout = 2 * time.Second
)

// triggerConfigCopy wakes the goroutines that copy root's revisions into home
// groups.
func (i *Instance) triggerConfigCopy() {
	for _, c := range i.configCopyWakes {
		signal(c)
	}
}

// runConfigCopier copies each committed revision of root into a home group
// while this instance leads that group. Nodes of the region receive revisions
// from the home group, so that their sessions can be confirmed by its quorum
// while the region is partitioned from root.
func (i *Instance) runConfigCopier(ctx context.Context, g *group, wake <-chan struct{}) {
	t := time.NewTicker(configCopyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-t.C:
		}
		c := i.groups[RootGroup].machine.current.Load()
		if c.revision <= g.machine.current.Load().revision || !g.isLeader(i.settings.id) {
			continue
		}
		command := &wasabistandv1.AdoptCommand{Revision: c.revision, DocumentRevision: c.documentRevision, Toml: c.toml, Drained: c.drained}
		copyCtx, cancel := context.WithTimeout(ctx, configCopyTimeout)
		_, err := g.propose(copyCtx, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Adopt{Adopt: command}})
		cancel()
		if err != nil && ctx.Err() == nil {
			i.log.Warn().Str("Group", g.settings.Name).Uint64("Revision", c.revision).Err(err).Msg("revision not copied to home group yet")
		}
	}
}
