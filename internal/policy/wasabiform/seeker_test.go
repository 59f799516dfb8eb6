package wasabiform_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
)

// Guards against a removed member that waits for several elections before it asks, and
// against one that stood still and takes old messages for those of a present leader.
func TestSeekerAsksWithoutLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	s := wasabiform.NewSeeker()
	assert.Assert(t, s.ShouldAsk(now, now), "just started")
	assert.Equal(t, s.Since(), now)
	s.Confirm()
	assert.Assert(t, !s.ShouldAsk(now, now))
	assert.Assert(t, s.Since().IsZero())
	contact := now
	for range 4 {
		now = now.Add(250 * time.Millisecond)
		assert.Equal(t, s.ShouldAsk(now, contact), now.Sub(contact) >= 600*time.Millisecond)
	}
	assert.Equal(t, s.Since(), contact.Add(750*time.Millisecond))
	assert.Assert(t, !s.ShouldAsk(now, now), "a leader is heard")
	now = now.Add(5 * time.Second)
	assert.Assert(t, s.ShouldAsk(now, now), "stood still")
	now = now.Add(250 * time.Millisecond)
	assert.Assert(t, s.ShouldAsk(now, now), "no leader has confirmed it since")
	s.Confirm()
	assert.Assert(t, !s.ShouldAsk(now, now))
}
