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

// heap returns the bytes that are in use.
func heap() float64 {
	runtime.GC()
	runtime.GC() // The first one may have begun before the garbage was made.
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// claimStart is the state machine's time; only differences matter.
const claimStart = int64(1_800_000_000_000)

func claimCommands(i int, answer *wasabistandv1.RecordedAnswer) (take, settle []byte, err error) {
	k := &wasabistandv1.ClaimKey{Caller: "office", Service: "reports", Key: fmt.Sprintf("7f9c2ba4-e88f-827d-6160-%012d", i)}
	o := &wasabistandv1.ClaimOwner{Instance: fmt.Sprintf("reports-%04d", i%2300), Incarnation: 1, Call: uint64(i)}
	if take, err = proto.Marshal(&wasabistandv1.StateCommand{ProposedUnixMs: claimStart, Kind: &wasabistandv1.StateCommand_ClaimTake{ClaimTake: &wasabistandv1.ClaimTake{
		Key: k, Owner: o, Fingerprint: make([]byte, 32), ExpiresUnixMs: claimStart + 250, DeadlineUnixMs: claimStart + 5000,
	}}}); err != nil {
		return nil, nil, err
	}
	settle, err = proto.Marshal(&wasabistandv1.StateCommand{ProposedUnixMs: claimStart, Kind: &wasabistandv1.StateCommand_ClaimSettle{ClaimSettle: &wasabistandv1.ClaimSettle{
		Key: k, Owner: o, Result: &wasabistandv1.ClaimSettle_Answer{Answer: answer},
	}}})
	return take, settle, err
}

// claims fills claim tables of several sizes through the state machine.
func claims(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: "one state machine, each claim taken and settled with an answer of 256 bytes",
		Columns:  []string{"Claims", "Memory (bytes)", "Apply (s)", "Claims a second", "Snapshot (bytes)", "Restore (s)"},
	}
	var x, memory, snapshots, restores []float64
	answer := &wasabistandv1.RecordedAnswer{Status: 200, Body: []byte(strings.Repeat("x", 256))}
	for _, size := range []int{50_000, 150_000, 300_000, 450_000} {
		if ctx.Err() != nil {
			return t, ctx.Err()
		}
		o.say("claims: %d", size)
		before := heap()
		m := wasabistate.New(wasabistate.NewOptions())
		var applying time.Duration
		for i := range size {
			take, settle, err := claimCommands(i, answer)
			if err != nil {
				return t, err
			}
			start := time.Now()
			m.Apply(0, take)
			m.Apply(0, settle)
			applying += time.Since(start)
		}
		used := heap() - before
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

// Sizes of the member bench: instances per service and services per node as at
// the size to design for.
const (
	memberServices = 170
	memberRounds   = 10
)

// members announces instances to one registry and merges what it tells into a
// second one.
func members(ctx context.Context, o Options) (Table, error) {
	t := Table{
		Settings: fmt.Sprintf("two registries, %d services, each instance renews once a second, 1 in 100 changes its state each second", memberServices),
		Columns:  []string{"Instances", "Memory, own and merged (bytes)", "Whole list (bytes)", "Changes a second (bytes)", "Renew and tell a second (ms)"},
	}
	var x, memory, full, changes, times []float64
	for _, size := range []int{575, 1150, 2300, 4600} {
		if ctx.Err() != nil {
			return t, ctx.Err()
		}
		o.say("members: %d", size)
		before := heap()
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
		whole := a.BuildSync(now, true)
		if err := b.Merge(now, whole); err != nil {
			return t, err
		}
		a.BuildSync(now, false) // Clears what the whole list has told.
		used := heap() - before
		var bytes int
		var spent time.Duration
		for round := range memberRounds {
			now = now.Add(time.Second)
			start := time.Now()
			for i := range list {
				if i%100 == round%100 {
					list[i] = flip(list[i])
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
		t.add(size, used, proto.Size(whole), perSecond, milliseconds)
		x, memory, full = append(x, float64(size)), append(memory, used), append(full, float64(proto.Size(whole)))
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

func flip(i wasabistand.Instance) wasabistand.Instance {
	s := wasabistand.Cold
	if i.State == wasabistand.Cold {
		s = wasabistand.Ready
	}
	return i.WithState(s).WithSequence(i.Sequence + 1)
}
