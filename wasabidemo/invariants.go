package wasabidemo

import (
	"fmt"
	"slices"
)

// RequestRetryBudget is the retry budget of one request in the demonstration's
// configuration.
const RequestRetryBudget = 3

// Violations lists the invariants that did not hold. It checks only counts and
// never times, so the result does not depend on the machine's speed.
func (m Measurements) Violations() []string {
	var list []string
	add := func(n int, format string, args ...any) {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, fmt.Sprintf(format, args...)))
		}
	}
	add(m.DuplicateBookings, "bookings ran more than once")
	add(m.Report.Mismatched, "answers belonged to another request")
	add(m.Report.Truncated, "partial answers were taken as whole")
	add(m.RefusedButRun, "requests were refused as not run and ran")
	if m.MostRetries > RequestRetryBudget {
		list = append(list, fmt.Sprintf("a request caused %d retries, %d are allowed", m.MostRetries, RequestRetryBudget))
	}
	add(m.ImportanceInversions, "lesser calls were admitted after a more important one was refused for load; first: %s", firstOrUnknown(m.ImportanceInversionDetails))
	return list
}

func firstOrUnknown(list []string) string {
	if len(list) == 0 {
		return "unknown"
	}
	return list[0]
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}
