package wasabilocal_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabilocal"
)

// Guards against a simulated network that loses, reorders or withholds bytes,
// delivers them before its latency has passed, or does not count the bytes that
// cross regions.
func TestNetworkDelaysAndCounts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	const latency = 5 * time.Millisecond
	n := wasabilocal.NewNetwork(wasabilocal.Latencies{Regions: latency})
	n.SetLocation(ln.Addr().String(), wasabistand.Location{Region: "a"})
	c, err := n.DialFrom(wasabistand.Location{Region: "b"})(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	const size = 1 << 20
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	start := time.Now()
	go func() { _, _ = c.Write(sent) }()
	got := make([]byte, size)
	_, err = io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 2*latency)
	assert.Assert(t, bytes.Equal(got, sent))
	assert.Equal(t, n.CrossRegionBytes(), int64(2*size))
}

// Guards against a fake claim table that grants a key twice, even when two nodes
// use the same call number.
func TestClaimsRunOnce(t *testing.T) {
	c := wasabilocal.NewControl(0)
	a, b := c.Claims("a"), c.Claims("b")
	k := wasabistand.Claim{Caller: "grower", Service: "slot-keeper", Key: "k", Call: 1}
	take := func(from wasabistand.Claims) wasabistand.ClaimStatus {
		s, err := from.Take(context.Background(), k)
		assert.NilError(t, err)
		return s.Status
	}
	assert.Equal(t, take(a), wasabistand.ClaimGranted)
	assert.Equal(t, take(b), wasabistand.ClaimHeld)
	assert.NilError(t, b.Settle(t.Context(), k, wasabistand.Settlement{Outcome: wasabistand.NotRun}))
	assert.Equal(t, take(b), wasabistand.ClaimHeld)
	assert.NilError(t, a.Settle(t.Context(), k, wasabistand.Settlement{Outcome: wasabistand.Answered, Response: &wasabistand.RecordedResponse{Status: 200}}))
	assert.Equal(t, take(b), wasabistand.ClaimAnswered)
}
