package wasabiplace

import "time"

// Bounds on the time in one instance's queue.
const (
	// queueTimeShare is the fraction of the remaining time that one queue may take,
	// so that enough is left to try another instance.
	queueTimeShare = 0.4
	minQueueTime   = 50 * time.Millisecond
)

// WaitBound returns for how long an instance may hold a request, including the service
// time of its calls, when remaining is the time left until the caller's deadline. A
// request that is refused after this time certainly did not run, and is sent to
// another instance, or retried by its caller after the refusal's retry delay.
func WaitBound(remaining, service time.Duration) time.Duration {
	return min(max(time.Duration(float64(remaining)*queueTimeShare), minQueueTime)+service, remaining)
}
