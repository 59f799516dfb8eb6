package wasabiplace

import "time"

const (
	// startupTime is how long a node usually takes from its start until it has a
	// configuration, when all control instances start with it: an election, and a
	// session over a few round trips between regions.
	startupTime = time.Second
	// startupWaitDivisor is the divisor of a request's timeout that gives the longest
	// wait. The objective isn't known yet; it is a quarter of the timeout or more.
	startupWaitDivisor = 6
	// minStartupReturn and outageReturn are the least times after which a refused
	// caller should return, while the node starts and when control is unavailable.
	minStartupReturn = 500 * time.Millisecond
	outageReturn     = time.Second
)

// StartupWait returns for how long a node without a configuration holds a request
// before it refuses it, and when the caller should return after that. sinceStart is
// the time since the node's start, limit the time after it in which requests may wait,
// and timeout the caller's timeout, 0 if unknown.
//
// It answers the load after a loss of power of all, when callers send to nodes whose
// control group has no leader yet. Callers retry once or twice only, so a refusal with
// an early return costs them the request, while most requests that wait are answered
// within their objective.
func StartupWait(sinceStart, limit, timeout time.Duration) (wait, retryAfter time.Duration) {
	if sinceStart >= limit {
		return 0, outageReturn
	}
	if timeout <= 0 {
		timeout = limit
	}
	wait = min(timeout/startupWaitDivisor, limit-sinceStart)
	return wait, max(startupTime-sinceStart-wait, minStartupReturn)
}
