package wasabiplace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wasabistand/wasabistand/internal/policy/wasabiplace"
)

// startupLimit is the time after a node's start in which requests may wait.
const startupLimit = 4 * time.Second

// serve plays a caller that sends a request at a time after the start of its node and
// retries once, with at most a third of its remaining time as the pause. It returns
// when the request was admitted, or false.
func serve(at, configured, timeout time.Duration) (time.Duration, bool) {
	deadline := at + timeout
	for range 2 {
		wait, retryAfter := wasabiplace.StartupWait(at, startupLimit, deadline-at)
		if at+wait >= configured {
			return max(at, configured), true
		}
		at += wait
		at += min(retryAfter, (deadline-at)/3)
	}
	return 0, false
}

// TestRestartOfAll plays callers with the timeouts of the deployments after a loss of
// power of all, for nodes that have a configuration 0.5 to 1.5 s after their start. It
// guards against callers that use up their retries before the node can serve them.
func TestRestartOfAll(t *testing.T) {
	for configured := 500 * time.Millisecond; configured <= 1500*time.Millisecond; configured += 100 * time.Millisecond {
		for _, timeout := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second, 12 * time.Second} {
			for at := 100 * time.Millisecond; at < configured; at += 10 * time.Millisecond {
				admitted, ok := serve(at, configured, timeout)
				assert.Assert(t, ok, "timeout %v: a request at %v is lost when the configuration comes at %v", timeout, at, configured)
				assert.Assert(t, admitted-configured <= 600*time.Millisecond, "timeout %v: a request at %v was admitted at %v, the configuration came at %v", timeout, at, admitted, configured)
			}
		}
	}
}

// TestStartupWaitBounds guards against requests that are held past an eighth of their
// timeout, or long after the node's start while control is unavailable.
func TestStartupWaitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		since := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "since"))
		timeout := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "timeout"))
		wait, retryAfter := wasabiplace.StartupWait(since, startupLimit, timeout)
		assert.Assert(t, wait >= 0 && wait <= timeout/6 && since+wait <= max(since, startupLimit))
		assert.Assert(t, retryAfter >= 500*time.Millisecond && retryAfter <= 1500*time.Millisecond)
		if since >= startupLimit {
			assert.Equal(t, wait, time.Duration(0))
		}
	})
}
