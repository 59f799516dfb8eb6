package wasabimember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// subscriber is a model of a node that follows one service.
type subscriber struct {
	feed  wasabimember.Feed
	list  map[string]wasabistand.Instance
	bytes int
}

// receive applies what a registry sends, and asks for the list if it has another.
func (s *subscriber) receive(t *testing.T, r *wasabimember.Registry, complete bool) {
	t.Helper()
	var d *wasabistandv1.MembershipDelta
	d, s.feed = r.Update("archive", s.feed, complete)
	if d == nil {
		return
	}
	s.bytes += proto.Size(d)
	if d.GetDigest() != 0 {
		if wasabimember.Digest(s.list) != d.GetDigest() {
			s.feed = wasabimember.NewFeed(0, false)
			s.receive(t, r, complete)
		}
		return
	}
	for _, m := range d.GetUpserts() {
		assert.Assert(t, m.GetState() != wasabistandv1.InstanceState_INSTANCE_STATE_LEAVING)
	}
	if d.GetBaseVersion() == 0 && !d.GetPartial() {
		clear(s.list)
	}
	for _, id := range d.GetRemoves() {
		delete(s.list, id)
	}
	for _, m := range d.GetUpserts() {
		i, err := wasabiwire.ToInstance(m)
		assert.NilError(t, err)
		s.list[i.ID] = i
	}
}

// assertList checks that the node has the registry's list.
func (s *subscriber) assertList(t *testing.T, r *wasabimember.Registry) {
	t.Helper()
	want := r.List("archive")
	assert.Equal(t, len(s.list), len(want))
	for _, i := range want {
		i.Sequence = 0
		assert.Equal(t, s.list[i.ID], i)
	}
}

// TestRestartSendsEachEntryOnce plays the restart of all: nodes subscribe while the
// instances announce themselves one after another, and the control instance flushes
// after each. It guards against bytes that grow with the square of the announcements
// a node.
func TestRestartSendsEachEntryOnce(t *testing.T) {
	for _, size := range []int{30, 300} {
		r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
		random := rand.New(rand.NewPCG(1, uint64(size)))
		var nodes []*subscriber
		for n := range size {
			assert.NilError(t, r.Announce(start, instance(n)))
			if random.IntN(4) == 0 {
				nodes = append(nodes, &subscriber{list: map[string]wasabistand.Instance{}})
			}
			for _, s := range nodes {
				s.receive(t, r, false)
			}
		}
		full := proto.Size(r.Delta("archive", 0))
		for _, s := range nodes {
			s.receive(t, r, true)
			s.assertList(t, r)
			assert.Assert(t, s.bytes <= full*3/2, "%d instances: %d bytes for a list of %d", size, s.bytes, full)
		}
	}
}

// TestMoveSendsDigest plays the loss of a control instance: its nodes move to
// another one, which has the same list.
func TestMoveSendsDigest(t *testing.T) {
	from, to := wasabimember.New(wasabimember.NewOptions("control-1", 1)), wasabimember.New(wasabimember.NewOptions("control-2", 1))
	announce(t, from, start, 280)
	assert.NilError(t, to.Merge(start, from.BuildSync(start, true)))
	s := &subscriber{list: map[string]wasabistand.Instance{}}
	s.receive(t, from, true)
	s.assertList(t, from)
	assert.Equal(t, len(s.list), 280)
	s.feed, s.bytes = wasabimember.NewFeed(0, true), 0
	s.receive(t, to, true)
	s.assertList(t, to)
	assert.Assert(t, s.bytes < 64, "%d bytes", s.bytes)
}

// TestLossOfControlInstanceSendsNothing plays a control instance that falls silent:
// its instances announce themselves at another one, with what they announced before.
// It guards against two changes of each instance, sent to each node.
func TestLossOfControlInstanceSendsNothing(t *testing.T) {
	const count = 100
	lost, r := wasabimember.New(wasabimember.NewOptions("control-1", 1)), wasabimember.New(wasabimember.NewOptions("control-2", 1))
	announce(t, lost, start, count)
	assert.NilError(t, r.Merge(start, lost.BuildSync(start, true)))
	s := &subscriber{list: map[string]wasabistand.Instance{}}
	s.receive(t, r, true)
	s.bytes = 0
	for tenth := range 100 {
		now := start.Add(time.Duration(tenth) * 100 * time.Millisecond)
		r.Tick(now)
		if tenth == 45 {
			assert.Equal(t, r.Stats().Suspect, count)
		}
		if tenth >= 50 {
			i := instance(tenth - 50)
			i.Sequence = 2
			assert.NilError(t, r.Announce(now, i))
			for n := range tenth - 50 {
				assert.NilError(t, r.Renew(now, instance(n).ID, 10, 2, 0))
			}
		}
		s.receive(t, r, true)
	}
	s.assertInstances(t, count)
	assert.Assert(t, r.Stats().Suspect < count)
	assert.Equal(t, s.bytes, 0)
}

// assertInstances checks that the node has the first instances as announced.
func (s *subscriber) assertInstances(t *testing.T, count int) {
	t.Helper()
	assert.Equal(t, len(s.list), count)
	for n := range count {
		i := instance(n)
		i.Sequence = 0
		assert.Equal(t, s.list[i.ID], i)
	}
}

// TestRestartOfInstanceIsShort plays the restart of a node: it leaves, announces itself
// as leaving until its instance reports, and then as ready. It guards against entries
// that nodes do not need.
func TestRestartOfInstanceIsShort(t *testing.T) {
	r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
	announce(t, r, start, 20)
	s := &subscriber{list: map[string]wasabistand.Instance{}}
	s.receive(t, r, true)
	entry := proto.Size(wasabiwire.FromInstance(instance(0)))
	s.bytes = 0
	i := instance(7).WithSequence(2).WithState(wasabistand.Leaving)
	assert.NilError(t, r.Announce(start, i))
	s.receive(t, r, true)
	assert.Equal(t, len(s.list), 19)
	r.Disconnect(start, i.ID, i.Incarnation, i.Sequence)
	s.receive(t, r, true)
	i.Incarnation++
	assert.NilError(t, r.Announce(start, i))
	s.receive(t, r, true)
	assert.Equal(t, len(s.list), 19)
	// The next incarnation of the node's instance.
	i.Incarnation, i.State = i.Incarnation+1, wasabistand.Ready
	assert.NilError(t, r.Announce(start, i))
	s.receive(t, r, true)
	assert.Equal(t, len(s.list), 20)
	assert.Assert(t, s.bytes < 2*entry, "%d bytes, an entry has %d", s.bytes, entry)
}

// TestIncompleteListSendsLeaving guards against nodes that send calls to an instance
// that leaves while a control instance does not know all instances yet, and against
// the removal of instances that others may know.
func TestIncompleteListSendsLeaving(t *testing.T) {
	r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
	s := &subscriber{list: map[string]wasabistand.Instance{"archive-0000": instance(0), "archive-0001": instance(1), "archive-0002": instance(2)}, feed: wasabimember.NewFeed(0, true)}
	assert.NilError(t, r.Announce(start, instance(0).WithState(wasabistand.Leaving)))
	s.receive(t, r, false)
	assert.Equal(t, len(s.list), 2)
	assert.NilError(t, r.Announce(start, instance(1)))
	s.receive(t, r, false)
	assert.Equal(t, len(s.list), 2)
	assert.NilError(t, r.Announce(start, instance(1).WithSequence(2).WithState(wasabistand.Leaving)))
	s.receive(t, r, false)
	assert.Equal(t, len(s.list), 1)
	// Its lease expires: that it has gone is not certain before the list is complete.
	assert.NilError(t, r.Announce(start, instance(2)))
	s.receive(t, r, false)
	r.Tick(start.Add(10 * time.Second))
	s.receive(t, r, false)
	assert.Equal(t, len(s.list), 1)
	s.receive(t, r, true)
	assert.Equal(t, len(s.list), 0)
}

// TestMoveRepairsOldList guards against a node that keeps instances that left while
// it moved, or misses new ones.
func TestMoveRepairsOldList(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
		s := &subscriber{list: map[string]wasabistand.Instance{}}
		for n := range 20 {
			i := instance(n)
			switch random.IntN(3) {
			case 0:
				s.list[i.ID] = i
			case 1:
				i.Slots += random.IntN(2)
				i.Sequence = 0
				s.list[i.ID] = i
				fallthrough
			default:
				assert.NilError(t, r.Announce(start, instance(n)))
			}
		}
		s.feed = wasabimember.NewFeed(0, true)
		if random.IntN(2) == 0 {
			s.receive(t, r, false)
		}
		s.receive(t, r, true)
		s.assertList(t, r)
		late := fmt.Sprintf("late-%d", seed)
		i := instance(0)
		i.ID = late
		assert.NilError(t, r.Announce(start.Add(time.Second), i))
		s.receive(t, r, true)
		s.assertList(t, r)
	}
}
