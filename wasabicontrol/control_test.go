package wasabicontrol_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
)

// Guards against an accepted configuration or an announced instance that does
// not reach nodes.
func TestAppliedConfigurationAndMembersReachNodes(t *testing.T) {
	c := newCluster(t, 3, nil)
	first := c.node("reports-1", "reports", 1, "control-1")
	second := c.node("archive-1", "archive", 1, "control-2")
	first.Interest("archive")
	revision := c.mustApply("control-3", 0, "first", "2s")
	for _, n := range []*node{first, second} {
		v := n.await(t, "revision", atLeast(revision))
		assert.Equal(t, v.Contracts.Callers["office"].Patience, 2*time.Second)
	}
	v := first.await(t, "instance of archive", func(v *wasabistand.View) bool { return len(v.Instances["archive"]) == 1 })
	assert.Equal(t, v.Instances["archive"][0].ID, "archive-1")
	assert.Equal(t, len(second.View().Instances), 0)
	assert.Assert(t, !first.Stale())
}
