package wasabiwire_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabimember"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// FuzzMemberSync guards against a membership update of a damaged peer that ends a
// control instance, or lists an instance that nodes cannot use.
func FuzzMemberSync(f *testing.F) {
	good := &wasabistandv1.MemberSync{Source: "control-2", Epoch: 1, Sequence: 1, Full: true, Upserts: []*wasabistandv1.Instance{
		{Id: "i", Service: "s", LinkAddress: "10.0.0.1:1", Region: "r", FailureDomain: "d", Slots: 1, Connections: 1, State: wasabistandv1.InstanceState_INSTANCE_STATE_READY},
		{Id: "j", Service: "s", LinkAddress: "10.0.0.1:70000", Region: "r", FailureDomain: "d", Slots: 1 << 31, Connections: 1, State: 7, RenewedMsAgo: 1 << 63},
	}}
	text, err := proto.Marshal(good)
	assert.NilError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var m wasabistandv1.MemberSync
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		r := wasabimember.New(wasabimember.NewOptions("control-1", 1))
		own := wasabistand.Instance{ID: "own", Incarnation: 1, Sequence: 1, Service: "s", LinkAddress: "10.0.0.9:1", Location: wasabistand.Location{Region: "r", FailureDomain: "d"}, Slots: 1, Connections: 1, State: wasabistand.Ready}
		assert.NilError(t, r.Announce(now, own))
		_ = r.Merge(now, &m)
		r.Tick(now)
		for _, i := range r.List("") {
			_, err := wasabiwire.ToInstance(wasabiwire.FromInstance(i))
			assert.NilError(t, err)
		}
	})
}
