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
	return wasabiform.Member{ID: id, Voter: voter, LastContact: lastContact}
}

// Guards against removing a voter before another has taken its place, for a silence
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
	learner, sixth := member("new", false, now), member("new", true, now)
	assert.Equal(t, p.Remove(now, "0", append(five(1), sixth)), "", "not the leader")
	p.SetLeading(now.Add(-999*time.Millisecond), true)
	assert.Equal(t, p.Remove(now, "0", append(five(1), sixth)), "", "leader for less than a second")
	p.SetLeading(now, false)
	p.SetLeading(now.Add(-time.Minute), true)
	assert.Equal(t, p.Remove(now, "0", five(1)), "", "no replacement")
	assert.Equal(t, p.Remove(now, "0", append(five(1), learner)), "", "the replacement does not vote yet")
	assert.Equal(t, p.Remove(now, "0", append(five(1), sixth)), "4")
	assert.Equal(t, p.Remove(now, "0", append(five(2), sixth)), "3", "the longest silent one")
	assert.Equal(t, p.Remove(now, "0", append(five(3), sixth)), "", "most are silent")
	assert.Equal(t, p.Remove(now, "0", append(five(3), sixth, member("other", true, now))), "2")
	assert.Equal(t, p.Remove(now, "0", append(five(0), sixth)), "", "all respond")
}

// Guards against a voter that keeps its vote until it has been silent for seconds although
// it said that it stops, and against removing one that responds before one that is gone.
func TestLeavingVoterIsRemovedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(1))
	p.SetLeading(now, true)
	list := []wasabiform.Member{member("0", true, now), member("1", true, now), member("2", true, now), member("new", false, now)}
	list[1].Leaving = true
	assert.Equal(t, p.Remove(now, "0", list), "", "the learner does not vote yet")
	assert.Assert(t, p.CanLeave(now, "0", list))
	assert.Assert(t, !p.CanLeave(now, "0", list[:3]), "no other member can vote")
	list[3].Leaving = true
	assert.Assert(t, !p.CanLeave(now, "0", list), "the learner leaves as well")
	list[3].Voter, list[3].Leaving = true, false
	assert.Assert(t, p.CanLeave(now, "0", list))
	assert.Equal(t, p.Remove(now, "0", list), "1")
	later := now.Add(2 * time.Second)
	list[0].LastContact, list[1].LastContact, list[3].LastContact = later, later, later
	assert.Equal(t, p.Remove(later, "0", list), "2", "silent before leaving")
	list[1].LastContact = now
	list[0].Leaving, list[1].Leaving, list[2].LastContact = true, false, later
	assert.Equal(t, p.Remove(later, "0", list), "1", "the leader does not remove itself")
}

// Guards against a group without a majority, because a new leader waits anew for the
// member whose silence led to its election, or for one whose process has ended.
func TestEndedProcessIsReplacedSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(1))
	p.SetLeading(now, true)
	list := []wasabiform.Member{member("0", true, now), member("1", true, now.Add(-700*time.Millisecond)), member("2", true, now), member("new", true, now)}
	assert.Assert(t, !p.NeedsProbe(now, "0", list[1]))
	list[1].Led = true
	assert.Assert(t, p.NeedsProbe(now, "0", list[1]))
	assert.Equal(t, p.Remove(now, "0", list), "")
	list[1].Refused = true
	assert.Equal(t, p.Remove(now, "0", list), "1")
	list[1].Refused, list[1].Reachable, list[1].LastContact = false, true, now.Add(-time.Hour)
	assert.Equal(t, p.Remove(now, "0", list), "", "its process responds")
	list[1].Led, list[1].Reachable, list[1].Refused = false, false, true
	assert.Equal(t, p.Remove(now.Add(499*time.Millisecond), "0", list), "")
	assert.Equal(t, p.Remove(now.Add(500*time.Millisecond), "0", list), "1")
}

// Guards against removing a member with a slow disk instead of one that is
// permanently gone.
func TestStalledMemberIsReplacedAfterUnreachableOne(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(2))
	p.SetLeading(now.Add(-5*time.Second), true)
	list := []wasabiform.Member{member("0", true, now), member("1", true, time.Time{}), member("2", true, now), member("3", true, time.Time{}), member("4", true, now), member("new", true, now)}
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

// Guards against removing a member that stands still in place of one whose process has
// ended.
func TestEndedProcessIsRemovedBeforeSilentOne(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(1))
	p.SetLeading(now.Add(-time.Minute), true)
	list := []wasabiform.Member{member("0", true, now), member("1", true, now.Add(-4*time.Second)), member("2", true, now.Add(-2*time.Second)), member("3", true, now), member("4", true, now)}
	assert.Equal(t, p.Remove(now, "0", list), "1")
	list[2].Refused = true
	assert.Equal(t, p.Remove(now, "0", list), "2")
	list[1].Refused = true
	assert.Equal(t, p.Remove(now, "0", list), "1")
}

// Guards against a group that promotes a member beside a silent one, so that it needs the
// votes of both, and against one that shrinks without a member to take the place.
func TestSilentVoterMakesRoomForReadyLearner(t *testing.T) {
	now := time.Unix(1000, 0)
	p := wasabiform.New(wasabiform.NewOptions(1))
	p.SetLeading(now.Add(-time.Minute), true)
	list := []wasabiform.Member{member("0", true, now), member("1", true, now), member("2", true, now.Add(-2*time.Second)), member("3", false, now)}
	assert.Equal(t, p.Remove(now, "0", list), "", "the learner has not caught up")
	list[3].CaughtUpAt = now
	assert.Equal(t, p.Remove(now, "0", list), "2")
	assert.Equal(t, p.Remove(now, "0", list[1:]), "", "below the target")
	list[3].Leaving = true
	assert.Equal(t, p.Remove(now, "0", list), "", "the learner leaves")
	list[3].Leaving, list[3].LastContact = false, now.Add(-2*time.Second)
	assert.Equal(t, p.Remove(now, "0", list), "", "the learner is silent")
	list[2].LastContact, list[2].Leaving, list[3].LastContact = now, true, now
	assert.Equal(t, p.Remove(now, "0", list), "", "it leaves and responds")
}

// Guards against a returning disk that is refused or listed twice, and against one that
// takes the place of a disk under the same name without being asked for.
func TestAdmit(t *testing.T) {
	p := wasabiform.New(wasabiform.NewOptions(2))
	list := []wasabiform.Member{{ID: "1", Storage: "a", Voter: true}, {ID: "2", Voter: true}, {ID: "3"}}
	for _, test := range []struct {
		id, storage string
		established bool
		want        wasabiform.Admission
	}{
		{"1", "a", true, wasabiform.Listed},
		{"1", "b", false, wasabiform.Listed},
		{"1", "b", true, wasabiform.Add},
		{"2", "b", true, wasabiform.Listed},
		{"3", "b", true, wasabiform.Add},
		{"4", "b", true, wasabiform.Add},
		{"4", "b", false, wasabiform.Add},
	} {
		assert.Equal(t, p.Admit(list, test.id, test.storage, test.established), test.want, "%+v", test)
	}
	for len(list) < 9 {
		list = append(list, wasabiform.Member{ID: fmt.Sprint(len(list) + 1)})
	}
	assert.Equal(t, p.Admit(list, "10", "a", true), wasabiform.Full)
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
	assert.Equal(t, p.Remove(now, "0", list), "7")
	assert.Equal(t, p.Remove(now, "0", list[:8]), "")
	assert.Assert(t, p.HasRoom(list[:8]))
}
