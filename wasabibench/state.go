package wasabibench

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabistate"
)

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // The first cycle may have started before the garbage existed.
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// claimStartMs is the state machine's time in Unix milliseconds; only differences
// matter.
const claimStartMs = int64(1_800_000_000_000)

func claimCommands(i int, response *wasabistandv1.RecordedAnswer) (take, settle []byte, err error) {
	k := &wasabistandv1.ClaimKey{Caller: "office", Service: "reports", Key: fmt.Sprintf("7f9c2ba4-e88f-827d-6160-%012d", i)}
	o := &wasabistandv1.ClaimOwner{Instance: fmt.Sprintf("reports-%04d", i%2300), Incarnation: 1, Call: uint64(i)}
	if take, err = proto.Marshal(&wasabistandv1.StateCommand{ProposedUnixMs: claimStartMs, Kind: &wasabistandv1.StateCommand_ClaimTake{ClaimTake: &wasabistandv1.ClaimTake{
		Key: k, Owner: o, Fingerprint: make([]byte, 32), ExpiresUnixMs: claimStartMs + 250, DeadlineUnixMs: claimStartMs + 5000,
	}}}); err != nil {
		return nil, nil, err
	}
	settle, err = proto.Marshal(&wasabistandv1.StateCommand{ProposedUnixMs: claimStartMs, Kind: &wasabistandv1.StateCommand_ClaimSettle{ClaimSettle: &wasabistandv1.ClaimSettle{
		Key: k, Owner: o, Result: &wasabistandv1.ClaimSettle_Answer{Answer: response},
	}}})
	return take, settle, err
}

// benchClaims fills claim tables of several sizes through the state machine.
func benchClaims(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: "one state machine, each claim taken and settled with an answer of 256 bytes",
		Columns:  []string{"Claims", "Memory (bytes)", "Apply (s)", "Claims a second", "Snapshot (bytes)", "Restore (s)"},
	}
	var x, memory, snapshots, restores []float64
	response := &wasabistandv1.RecordedAnswer{Status: 200, Body: []byte(strings.Repeat("x", 256))}
	for _, size := range []int{50_000, 150_000, 300_000, 450_000} {
		if ctx.Err() != nil {
			return t, ctx.Err()
		}
		o.progressf("claims: %d", size)
		before := heapBytes()
		m := wasabistate.New(wasabistate.NewOptions())
		var applying time.Duration
		for i := range size {
			take, settle, err := claimCommands(i, response)
			if err != nil {
				return t, err
			}
			start := time.Now()
			m.Apply(0, take)
			m.Apply(0, settle)
			applying += time.Since(start)
		}
		used := heapBytes() - before
		snapshot, err := m.Snapshot()
		if err != nil {
			return t, err
		}
		start := time.Now()
		if err := wasabistate.New(wasabistate.NewOptions()).Restore(snapshot); err != nil {
			return t, err
		}
		restore := time.Since(start)
		if total := m.Claims().Total(); total != size {
			return t, fmt.Errorf("%d claims are in the table, %d were made", total, size)
		}
		runtime.KeepAlive(m)
		t.add(size, used, applying.Seconds(), float64(size)/applying.Seconds(), len(snapshot), restore.Seconds())
		x, memory = append(x, float64(size)), append(memory, used)
		snapshots, restores = append(snapshots, float64(len(snapshot))), append(restores, restore.Seconds())
	}
	t.note("memory (bytes): %s", FitLine(x, memory))
	t.note("snapshot (bytes): %s", FitLine(x, snapshots))
	t.note("restore (s): %s", FitLine(x, restores))
	return t, nil
}

// Settings of the members benchmark: the number of services in a deployment of
// the target size, and the number of measured rounds of one second each.
const (
	memberServices = 170
	memberRounds   = 10
)

// benchMembers announces instances to one registry and merges its sync messages
// into a second one.
func benchMembers(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: fmt.Sprintf("two registries, %d services, each instance renews once a second, 1 in 100 changes its state each second", memberServices),
		Columns:  []string{"Instances", "Memory, own and merged (bytes)", "Whole list (bytes)", "Changes a second (bytes)", "Renew and tell a second (ms)"},
	}
	var x, memory, full, changes, times []float64
	for _, size := range []int{575, 1150, 2300, 4600} {
		if ctx.Err() != nil {
			return t, ctx.Err()
		}
		o.progressf("members: %d", size)
		before := heapBytes()
		a := wasabimember.New(wasabimember.NewOptions("control-1", 1))
		b := wasabimember.New(wasabimember.NewOptions("control-2", 1))
		now := time.Unix(1_800_000_000, 0)
		list := make([]wasabistand.Instance, size)
		for i := range list {
			list[i] = memberInstance(i)
			if err := a.Announce(now, list[i]); err != nil {
				return t, err
			}
		}
		fullSync := a.BuildSync(now, true)
		if err := b.Merge(now, fullSync); err != nil {
			return t, err
		}
		a.BuildSync(now, false) // Clears the changes that the full list contained.
		used := heapBytes() - before
		var bytes int
		var spent time.Duration
		for round := range memberRounds {
			now = now.Add(time.Second)
			start := time.Now()
			for i := range list {
				if i%100 == round%100 {
					list[i] = toggleState(list[i])
					if err := a.Announce(now, list[i]); err != nil {
						return t, err
					}
					continue
				}
				if err := a.Renew(now, list[i].ID, list[i].Incarnation, list[i].Sequence, list[i].AppliedRevision); err != nil {
					return t, err
				}
			}
			a.Tick(now)
			m := a.BuildSync(now, false)
			if err := b.Merge(now, m); err != nil {
				return t, err
			}
			b.Tick(now)
			spent += time.Since(start)
			bytes += proto.Size(m)
		}
		if n := b.Stats().Listed; n != size {
			return t, fmt.Errorf("%d instances are listed, %d were announced", n, size)
		}
		runtime.KeepAlive(a)
		perSecond, milliseconds := float64(bytes)/memberRounds, 1000*spent.Seconds()/memberRounds
		t.add(size, used, proto.Size(fullSync), perSecond, milliseconds)
		x, memory, full = append(x, float64(size)), append(memory, used), append(full, float64(proto.Size(fullSync)))
		changes, times = append(changes, perSecond), append(times, milliseconds)
	}
	t.note("memory (bytes): %s", FitLine(x, memory))
	t.note("whole list (bytes): %s", FitLine(x, full))
	t.note("changes a second (bytes): %s", FitLine(x, changes))
	t.note("processor time a second (ms): %s", FitLine(x, times))
	return t, nil
}

func memberInstance(i int) wasabistand.Instance {
	region := []string{"flanders", "wallonia"}[i%2]
	return wasabistand.Instance{
		ID: fmt.Sprintf("service-%03d-%d", i%memberServices, i/memberServices), Incarnation: 1, Sequence: 1,
		Service:     fmt.Sprintf("service-%03d", i%memberServices),
		LinkAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), AdminAddress: fmt.Sprintf("10.0.%d.%d:7401", i/250, i%250),
		Location: wasabistand.Location{Region: region, FailureDomain: fmt.Sprintf("%s-%d", region, i%5)},
		Slots:    90, Connections: 630, State: wasabistand.Ready, AppliedRevision: 1,
	}
}

func toggleState(i wasabistand.Instance) wasabistand.Instance {
	s := wasabistand.Cold
	if i.State == wasabistand.Cold {
		s = wasabistand.Ready
	}
	return i.WithState(s).WithSequence(i.Sequence + 1)
}
