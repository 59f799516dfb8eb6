package wasabistate_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabistate"
)

// encode returns an encoded StateCommand with the given command, or without one
// if it is nil.
func encode(now int64, command proto.Message) []byte {
	c := &wasabistandv1.StateCommand{ProposedUnixMs: now}
	fields := c.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); command != nil && f.Message() == command.ProtoReflect().Descriptor() {
			c.ProtoReflect().Set(f, protoreflect.ValueOfMessage(command.ProtoReflect()))
		}
	}
	b, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

func applyCommand(n int, expected uint64, toml string) *wasabistandv1.ApplyCommand {
	return &wasabistandv1.ApplyCommand{
		Command:          &wasabistandv1.CommandIdentity{Id: fmt.Sprintf("committee-%08d", n), IssuedUnixMs: benchStart},
		ExpectedRevision: expected, Toml: toml, Operator: "an", Comment: "season",
	}
}

func drainCommand(n int, instance string, drained bool) *wasabistandv1.DrainCommand {
	return &wasabistandv1.DrainCommand{
		Command:  &wasabistandv1.CommandIdentity{Id: fmt.Sprintf("committee-%08d", n), IssuedUnixMs: benchStart},
		Instance: instance, Drained: drained, Operator: "an",
	}
}

func Example() {
	m := wasabistate.New(wasabistate.NewOptions())
	first := encode(benchStart, applyCommand(1, 0, "[Callers.Default]\n"))
	fmt.Printf("%+v\n", m.Apply(1, first))
	// The response was lost and the command is retried.
	fmt.Printf("%+v\n", m.Apply(2, first))
	// Another operator based a change on the same revision.
	fmt.Printf("%+v\n", m.Apply(3, encode(benchStart, applyCommand(2, 0, "[Callers.office]\n"))))
	fmt.Println(m)
	// Output:
	// {Revision:1 Changed:true Repeated:false}
	// {Revision:1 Changed:true Repeated:true}
	// {Expected:0 Latest:1 Winner:an WonUnixMs:1800000000000 Repeated:false}
	// state(revision 1, 0 claims)
}

// TestRevisions guards against revisions kept beyond the limits, a lost latest
// document, and wrong documents for revisions created by drains.
func TestRevisions(t *testing.T) {
	m := wasabistate.New(wasabistate.NewOptions().WithRevisions(4, 250))
	document := strings.Repeat("#", 100)
	for n := range 3 {
		m.Apply(0, encode(benchStart, applyCommand(n, uint64(n), fmt.Sprint(document, n+1))))
	}
	_, kept := m.Configuration(1)
	assert.Assert(t, !kept, "three documents of 100 bytes are more than 250")
	m.Apply(0, encode(benchStart, drainCommand(3, "archive-1", true)))
	assert.DeepEqual(t, m.Apply(0, encode(benchStart, drainCommand(4, "archive-1", true))), wasabistate.AppliedResult{Revision: 4})
	d, ok := m.Configuration(4)
	assert.Assert(t, ok)
	assert.DeepEqual(t, d, wasabistate.Document{Revision: 4, DocumentRevision: 3, TOML: document + "3"})
	assert.DeepEqual(t, m.Drained(), []string{"archive-1"})
	for n := 5; n < 11; n++ {
		m.Apply(0, encode(benchStart, drainCommand(n, "archive-2", n%2 == 1)))
	}
	list := m.History(10, 0)
	assert.Equal(t, len(list), 4)
	assert.Equal(t, list[0].Revision, uint64(10))
	assert.Equal(t, list[0].Kind, wasabistate.KindUndrain)
	assert.Equal(t, m.History(10, 9)[0].Revision, uint64(8))
	assert.Equal(t, len(m.History(2, 0)), 2)
	d, ok = m.Configuration(10)
	assert.Assert(t, ok)
	assert.Equal(t, d.TOML, document+"3")
}

// TestAdopt guards against a home group that installs an older revision or
// mixes its own revisions with those of the root group.
func TestAdopt(t *testing.T) {
	m := wasabistate.New(wasabistate.NewOptions())
	adopt := func(revision, document uint64, toml string, drained ...string) any {
		return m.Apply(0, encode(benchStart, &wasabistandv1.AdoptCommand{Revision: revision, DocumentRevision: document, Toml: toml, Drained: drained}))
	}
	assert.DeepEqual(t, adopt(5, 4, "# four", "archive-1"), wasabistate.AdoptedResult{Revision: 5, Adopted: true})
	assert.DeepEqual(t, adopt(4, 4, "# four"), wasabistate.AdoptedResult{Revision: 5})
	assert.DeepEqual(t, adopt(7, 4, ""), wasabistate.AdoptedResult{Revision: 7, Adopted: true})
	assert.Equal(t, m.Document().TOML, "# four")
	assert.Equal(t, len(m.Drained()), 0)
	for _, r := range []any{adopt(8, 3, "# three"), adopt(8, 4, "# five"), adopt(8, 8, ""), adopt(8, 9, "# nine")} {
		assert.Assert(t, wasabistand.ErrInvalid.Has(r.(wasabistate.InvalidResult).Err))
	}
	_, refused := m.Apply(0, encode(benchStart, applyCommand(1, 7, "# own"))).(wasabistate.RefusedResult)
	assert.Assert(t, refused)
	assert.Equal(t, m.Revision(), uint64(7))
}

// TestLimits guards against replicas that read their limits from settings
// instead of the log, and against a table that exceeds its limits.
func TestLimits(t *testing.T) {
	m := wasabistate.New(wasabistate.NewOptions())
	m.Apply(0, encode(benchStart, &wasabistandv1.LimitsCommand{ClaimRetentionMs: 1000, ClaimEntries: 2, AnswerBytes: 10}))
	bad := m.Apply(0, encode(benchStart, &wasabistandv1.LimitsCommand{ClaimRetentionMs: 1 << 62, ClaimEntries: 1}))
	assert.ErrorContains(t, bad.(wasabistate.InvalidResult).Err, "claim_retention_ms")
	response := &wasabistandv1.RecordedAnswer{Status: 201, Body: make([]byte, 20)}
	var states []string
	for i := range 3 {
		take, settle := claimCommands(i, benchStart, response)
		states = append(states, m.Apply(0, take).(wasabistate.ClaimResult).State.String())
		m.Apply(0, settle)
	}
	assert.DeepEqual(t, states, []string{"STATE_GRANTED", "STATE_GRANTED", "STATE_REFUSED"})
	// The second response exceeds the total of 10 bytes, as does the first.
	assert.Equal(t, m.Claims().DoneLarge, 2)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := wasabistate.New(wasabistate.NewOptions())
	assert.NilError(t, restored.Restore(snapshot))
	assert.Equal(t, restored.Limits().ClaimEntries, 2)
	// A second later both claims have expired and are removed.
	restored.Apply(0, encode(benchStart+time.Second.Milliseconds(), nil))
	assert.Equal(t, restored.Claims().Total(), 0)
	assert.Equal(t, restored.Claims().Owners, 0)
}

// TestBatch guards against batch results in another order than the requests,
// and against batches of unlimited size.
func TestBatch(t *testing.T) {
	m := wasabistate.New(wasabistate.NewOptions())
	take := &wasabistandv1.ClaimTake{
		Key: &wasabistandv1.ClaimKey{Caller: "office", Service: "reports", Key: "a"}, Owner: &wasabistandv1.ClaimOwner{Instance: "n"},
		Fingerprint: make([]byte, 32), ExpiresUnixMs: benchStart + 1, DeadlineUnixMs: benchStart + 1,
	}
	other := proto.Clone(take).(*wasabistandv1.ClaimTake)
	other.Owner.Call = 1
	request := func(id uint64, t *wasabistandv1.ClaimTake) *wasabistandv1.ClaimRequest {
		return &wasabistandv1.ClaimRequest{Id: id, Kind: &wasabistandv1.ClaimRequest_Take{Take: t}}
	}
	r := m.Apply(0, encode(benchStart, &wasabistandv1.ClaimBatch{Requests: []*wasabistandv1.ClaimRequest{
		request(7, take), request(8, other), request(9, &wasabistandv1.ClaimTake{}), {Id: 10},
	}}))
	var got []string
	for _, c := range r.(wasabistate.BatchResult).Results {
		got = append(got, fmt.Sprint(c.Message().Id, " ", c.State, " ", c.Reason))
	}
	assert.DeepEqual(t, got, []string{
		"7 STATE_GRANTED ", "8 STATE_HELD ",
		"9 STATE_REFUSED invalid: key.caller: 0 bytes, allowed are 1 to 128", "10 STATE_REFUSED kind: not set",
	})
	r = m.Apply(0, encode(benchStart, &wasabistandv1.ClaimBatch{Requests: make([]*wasabistandv1.ClaimRequest, 4097)}))
	assert.ErrorContains(t, r.(wasabistate.InvalidResult).Err, "4097")
}

// TestMalformedInput guards against panics and state changes caused by malformed
// commands and snapshots.
func TestMalformedInput(t *testing.T) {
	m := wasabistate.New(wasabistate.NewOptions())
	m.Apply(0, encode(benchStart, applyCommand(1, 0, "# one")))
	take, settle := claimCommands(1, benchStart, &wasabistandv1.RecordedAnswer{Status: 200, Body: []byte("answer")})
	m.Apply(0, take)
	m.Apply(0, settle)
	good, err := m.Snapshot()
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		m := wasabistate.New(wasabistate.NewOptions())
		m.Apply(0, rapid.SliceOf(rapid.Byte()).Draw(t, "command"))
		damaged := append([]byte(nil), good...)
		damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		before, _ := m.Snapshot()
		if err := m.Restore(damaged[:rapid.IntRange(0, len(damaged)).Draw(t, "length")]); err != nil {
			after, _ := m.Snapshot()
			if string(before) != string(after) {
				t.Fatal("a refused snapshot changed the state")
			}
			return
		}
		m.Apply(0, take)
		m.Apply(0, settle)
	})
}
