// Package wasabireturn decides when callers that were refused may come back.
// It does not decide who is refused.
package wasabireturn

import "time"

const (
	// controlStart is how long a control group takes from a loss of power until
	// its nodes have a confirmed configuration: start, election and sessions.
	controlStart = 1500 * time.Millisecond
	// minNotReady covers the opening of a session with a control group that
	// answers.
	minNotReady = 300 * time.Millisecond
	// spread keeps callers that were refused together from coming back
	// together.
	spread = 500 * time.Millisecond
)

// NotReady returns when a caller may come back to a node that has been up for
// some time and has no confirmed configuration yet. random is from 0 to 1.
func NotReady(up time.Duration, random float64) time.Duration {
	return max(controlStart-up, minNotReady) + time.Duration(float64(spread)*random)
}
