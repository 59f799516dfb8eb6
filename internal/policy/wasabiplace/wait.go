package wasabiplace

import "time"

// Bounds of the wait in one instance's queue.
const (
	// waitShare is the part of the patience that one queue may take. The rest
	// suffices for another instance.
	waitShare = 0.4
	minWait   = 50 * time.Millisecond
)

// WaitBound returns for how long an instance may keep a request whose caller
// waits for left, the time that its calls take included. A request that is
// refused then certainly did not run, and is placed elsewhere or comes back
// when its caller is told to.
func WaitBound(left, service time.Duration) time.Duration {
	return min(max(time.Duration(float64(left)*waitShare), minWait)+service, left)
}
