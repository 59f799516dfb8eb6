package wasabinode_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// BenchmarkCall measures the latency that two nodes and a link add to a call with
// 1 KiB in each direction. Calls alternate between the direct path and the path
// through the nodes.
func BenchmarkCall(b *testing.B) {
	payload := bytes.Repeat([]byte("x"), 1024)
	serve := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(payload)
	}
	direct := httptest.NewServer(http.HandlerFunc(serve))
	defer direct.Close()
	m := newMesh(b)
	m.add("b1", "b", serve)
	a := m.add("a1", "a", emptyHandler)
	m.awaitReady()
	call := func(target string) time.Duration {
		r := request(b, a, "PUT", "b", "/put")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(payload)), int64(len(payload))
		if target != "" {
			r.URL.Host = target
		}
		started := time.Now()
		w, err := m.client.Do(r)
		assert.NilError(b, err)
		n, err := io.Copy(io.Discard, w.Body)
		assert.NilError(b, err)
		assert.NilError(b, w.Body.Close())
		assert.Equal(b, n, int64(len(payload)))
		return time.Since(started)
	}
	b.Run("added", func(b *testing.B) {
		directLatency, nodesLatency := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
		for b.Loop() {
			_ = directLatency.RecordValue(call(direct.Listener.Addr().String()).Nanoseconds())
			_ = nodesLatency.RecordValue(call("").Nanoseconds())
		}
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 50}, {"p99", 99}} {
			b.ReportMetric(float64(directLatency.ValueAtQuantile(q.at))/1e3, "direct-"+q.name+"-µs")
			b.ReportMetric(float64(nodesLatency.ValueAtQuantile(q.at))/1e3, "nodes-"+q.name+"-µs")
			b.ReportMetric(float64(nodesLatency.ValueAtQuantile(q.at)-directLatency.ValueAtQuantile(q.at))/1e3, "added-"+q.name+"-µs")
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			call(direct.Listener.Addr().String())
		}
	})
	b.Run("nodes", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			call("")
		}
	})
}
