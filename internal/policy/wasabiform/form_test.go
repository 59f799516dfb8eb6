package wasabiform_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiform"
)

func ExampleOptions_Durable() {
	o := wasabiform.NewOptions(2)
	fmt.Println(o.Voters(), o.Durable(3), o.Durable(4))
	// Output: 5 false true
}

func member(id string, voter bool, lastContact time.Time) wasabiform.Member {
	return wasabiform.Member{ID: id, Voter: voter, StorageKnown: true, CaughtUp: true, LastContact: lastContact}
}

// Guards against removing a voter while no learner can replace it, for a silence
// that a new leader did not observe itself, or while most voters are silent.
func TestRemoveOnlyWithReplacement(t *testing.T) {
	now := time.Unix(1000, 0)
	old := now.Add(-time.Minute)
	five := func(silent int) (list []wasabiform.Member) {
		for i := range 5 {
			lastContact := now
			if i >= 5-silent {
				lastContact = old.Add(time.Duration(i))
			}
			list = append(list, member(fmt.Sprint(i), true, lastContact))
		}
		return list
	}
	p := wasabiform.New(wasabiform.NewOptions(2))
	learner := member("new", false, now)
	assert.Equal(t, p.Remove(now, "0", append(five(1), learner)), "", "not the leader")
	p.SetLeading(now.Add(-time.Second), true)
	assert.Equal(t, p.Remove(now, "0", append(five(1), learner)), "", "leader for one second only")
	p.SetLeading(now, false)
	p.SetLeading(now.Add(-time.Minute), true)
	assert.Equal(t, p.Remove(now, "0", five(1)), "", "no replacement")
	assert.Equal(t, p.Remove(now, "0", append(five(1), learner)), "4")
	assert.Equal(t, p.Remove(now, "0", append(five(2), learner)), "3", "the longest silent one")
	assert.Equal(t, p.Remove(now, "0", append(five(3), learner)), "", "most are silent")
	behind := learner
	behind.CaughtUp = false
	assert.Equal(t, p.Remove(now, "0", append(five(1), behind)), "", "the replacement lacks entries")
	assert.Equal(t, p.Remove(now, "0", append(five(0), learner)), "", "all respond")
}

// Guards against removing a member with a slow disk instead of one that is
// permanently gone.
func TestStalledMemberIsRemovedAfterUnreachableOne(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(2))
	p.SetLeading(now.Add(-5*time.Second), true)
	list := []wasabiform.Member{member("0", true, now), member("1", true, time.Time{}), member("2", true, now), member("3", true, time.Time{}), member("4", true, now), member("new", false, now)}
	list[1].Reachable = true
	assert.Equal(t, p.Remove(now, "0", list), "3")
	list[3].LastContact = now
	assert.Equal(t, p.Remove(now, "0", list), "")
	now = now.Add(time.Minute)
	for i := range list {
		if i != 1 {
			list[i].LastContact = now
		}
	}
	assert.Equal(t, p.Remove(now, "0", list), "1", "the disk does not recover")
}

// Guards against silent learners that keep the group full permanently.
func TestSilentLearnerIsRemovedFromFullGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(2))
	p.SetLeading(now.Add(-time.Minute), true)
	var list []wasabiform.Member
	for i := range 9 {
		list = append(list, member(fmt.Sprint(i), i < 5, now))
	}
	assert.Assert(t, !p.HasRoom(list))
	list[7].LastContact = time.Time{}
	list[7].StorageKnown = false
	assert.Equal(t, p.Remove(now, "0", list), "7")
	assert.Equal(t, p.Remove(now, "0", list[:8]), "")
	assert.Assert(t, p.HasRoom(list[:8]))
}
