package wasabimember_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabimember"
)

func instance(i int) wasabistand.Instance {
	return wasabistand.Instance{
		ID: fmt.Sprintf("archive-%04d", i), Incarnation: 10, Sequence: 1, Service: "archive",
		LinkAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), AdminAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		Location: wasabistand.Location{Region: "lagos", FailureDomain: "lagos-a"}, Slots: 55, Connections: 430, State: wasabistand.Ready,
	}
}

func announce(t testing.TB, r *wasabimember.Registry, now time.Time, count int) {
	t.Helper()
	for i := range count {
		assert.NilError(t, r.Announce(now, instance(i)))
	}
}

// renewAll renews the instances from first on and calls Tick every 500 ms until
// the given time.
func renewAll(r *wasabimember.Registry, from, to time.Time, first, count int) {
	for now := from; !now.After(to); now = now.Add(500 * time.Millisecond) {
		for i := first; i < count; i++ {
			_ = r.Renew(now, instance(i).ID, 10, 1, 3)
		}
		r.Tick(now)
	}
}

func Example() {
	now := time.Unix(0, 0)
	r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
	i := wasabistand.Instance{
		ID: "archive-1", Incarnation: 1, Sequence: 1, Service: "archive", LinkAddress: "127.0.0.1:7000",
		Location: wasabistand.Location{Region: "lagos", FailureDomain: "a"}, Slots: 55, Connections: 430, State: wasabistand.Ready,
	}
	fmt.Println(r.Announce(now, i), r)
	full := r.Delta("archive", 0)
	fmt.Println(len(full.Upserts), r.Delta("archive", full.Version) == nil)
	_ = r.Announce(now, i.WithSequence(2).WithState(wasabistand.Leaving))
	r.Disconnect(now, "archive-1", 1, 2)
	fmt.Println(r.Delta("archive", full.Version).Removes)
	// Output:
	// <nil> member(control-1, 1 instances)
	// 1 true
	// [archive-1]
}

// TestAnnounce guards against two processes with the same name, instances that
// return to an earlier state, and instances that change their service.
func TestAnnounce(t *testing.T) {
	r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
	announce(t, r, start, 1)
	other := instance(0)
	other.LinkAddress, other.Incarnation = "10.9.9.9:1", 11
	assert.Assert(t, wasabimember.ErrDuplicate.Has(r.Announce(start.Add(2*time.Second), other)))
	moved := instance(0).WithSequence(2)
	moved.Service = "reports"
	assert.ErrorContains(t, r.Announce(start, moved), `service: "reports"`)
	same := instance(0)
	same.Slots = 1
	assert.Assert(t, wasabimember.ErrStale.Has(r.Announce(start, same)), "one sequence was accepted for different announcements")
	back := wasabimember.New(wasabimember.NewOptions("control-1", 1))
	assert.NilError(t, back.Announce(start, instance(0).WithState(wasabistand.Leaving)))
	assert.ErrorContains(t, back.Announce(start, instance(0).WithSequence(2)), "state: Ready")
	assert.Assert(t, wasabimember.ErrUnknown.Has(r.Renew(start, same.ID, 10, 2, 0)))
	assert.Assert(t, wasabimember.ErrStale.Has(r.Renew(start, same.ID, 9, 2, 0)))
	assert.Assert(t, wasabistand.ErrInvalid.Has(r.Announce(start, wasabistand.Instance{})))
	// After the lease has expired, a higher incarnation may use the name.
	r.Tick(start.Add(3 * time.Second))
	assert.NilError(t, r.Announce(start.Add(3*time.Second), other))
	assert.Equal(t, r.List("archive")[0].LinkAddress, "10.9.9.9:1")
	assert.Assert(t, wasabimember.ErrStale.Has(r.Announce(start.Add(9*time.Second), instance(0).WithSequence(5))))
}

// TestExpiry guards against single failed instances that stay listed, and
// against services without instances after many leases expired together.
func TestExpiry(t *testing.T) {
	for _, c := range []struct{ total, notRenewed, after3s, suspect, after64s int }{
		{14, 1, 13, 0, 13},
		{14, 2, 12, 0, 12},  // fewer than 3
		{14, 3, 14, 3, 11},  // 21%
		{16, 3, 13, 0, 13},  // 18%
		{14, 14, 14, 14, 0}, // the network of the control instance failed
	} {
		r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
		announce(t, r, start, c.total)
		renewAll(r, start, start.Add(3*time.Second), c.notRenewed, c.total)
		assert.Equal(t, r.Stats().Listed, c.after3s, "%+v", c)
		assert.Equal(t, r.Stats().Suspect, c.suspect, "%+v", c)
		renewAll(r, start.Add(3*time.Second), start.Add(62*time.Second), c.notRenewed, c.total)
		assert.Equal(t, r.Stats().Suspect, c.suspect, "%+v", c)
		renewAll(r, start.Add(62*time.Second), start.Add(64*time.Second), c.notRenewed, c.total)
		assert.Equal(t, r.Stats().Listed, c.after64s, "%+v", c)
		renewAll(r, start.Add(64*time.Second), start.Add(70*time.Second), c.notRenewed, c.total)
		assert.Equal(t, r.Stats().Local, c.total-c.notRenewed, "%+v", c)
	}
}

// TestMassExpiryOverSources guards against control instances that each remove
// their few instances of a service when the leases of all expire together.
func TestMassExpiryOverSources(t *testing.T) {
	list := make([]*wasabimember.Registry, 4)
	for i := range list {
		list[i] = wasabimember.New(wasabimember.NewOptions(fmt.Sprint("control-", i), 1))
		assert.NilError(t, list[i].Announce(start, instance(i)))
	}
	exchange := func(now time.Time, living int) {
		for i, from := range list[:living] {
			from.Tick(now)
			m := from.BuildSync(now, false)
			for j, to := range list {
				if i != j {
					assert.NilError(t, to.Merge(now, m))
				}
			}
		}
	}
	for s := range 10 {
		exchange(start.Add(time.Duration(s)*time.Second), 4)
		for i, r := range list {
			assert.Equal(t, len(r.List("archive")), 4, "second %d, control-%d", s, i)
		}
	}
	assert.Equal(t, list[0].Stats().Suspect, 4)
	assert.NilError(t, list[1].Renew(start.Add(10*time.Second), instance(1).ID, 10, 1, 0))
	exchange(start.Add(10*time.Second), 4)
	assert.Equal(t, list[0].Stats().Suspect, 3)
	// A source without messages does not mean that its instances failed.
	assert.NilError(t, list[3].Renew(start.Add(10*time.Second), instance(3).ID, 10, 1, 0))
	exchange(start.Add(10*time.Second), 4)
	for s := 11; s < 80; s++ {
		exchange(start.Add(time.Duration(s)*time.Second), 3)
	}
	assert.Equal(t, list[0].Stats().Sources, 2)
	assert.Equal(t, list[0].Stats().Listed, 0)
}

// TestDeltas guards against deltas for renewals that change nothing, and
// against gaps when the log no longer covers the requested version.
func TestDeltas(t *testing.T) {
	o := wasabimember.NewOptions("control-1", 1).WithBounds(100, 10, 8)
	r := wasabimember.New(o)
	announce(t, r, start, 5)
	version := r.Version("archive")
	sequence := r.BuildSync(start, false).Sequence
	renewAll(r, start, start.Add(10*time.Second), 0, 5)
	assert.Assert(t, r.Delta("archive", version) == nil)
	assert.Assert(t, !r.HasPendingChanges())
	m := r.BuildSync(start, false)
	assert.Equal(t, m.Sequence, sequence+1)
	assert.Equal(t, len(m.Upserts), 0)
	assert.Equal(t, len(m.Revisions[0].Instances), 5, "the applied revision is sent once")
	assert.Assert(t, proto.Size(r.BuildSync(start, false)) < 64, "an idle sync contains no instance")
	for i := range 20 {
		assert.NilError(t, r.Announce(start.Add(10*time.Second), instance(0).WithSequence(uint64(i+2)).WithState(wasabistand.InstanceState(1+i%2))))
	}
	assert.Equal(t, r.Delta("archive", version).BaseVersion, uint64(0))
	assert.Equal(t, len(r.Delta("archive", r.Version("archive")-2).Upserts), 1)
	// A version of another control instance gets the full list.
	elsewhere := wasabimember.New(wasabimember.NewOptions("control-2", 1))
	announce(t, elsewhere, start, 5)
	assert.Equal(t, len(elsewhere.Delta("archive", r.Version("archive")).Upserts), 5)
	assert.Equal(t, elsewhere.Delta("unknown", 5).Version, elsewhere.Version("unknown"))
	for i := 5; i < 101; i++ {
		err := r.Announce(start, instance(i))
		assert.Equal(t, i < 100, err == nil, "%v", err)
	}
}
