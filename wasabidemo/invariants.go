package wasabidemo

import (
	"fmt"
	"slices"
)

// Allowance is the retry budget of one request in the demonstration's
// configuration.
const Allowance = 3

// Broken lists the invariants that did not hold. It checks only counts and never
// times, so the result does not depend on the machine's speed.
func (m Measured) Broken() []string {
	var list []string
	add := func(n int, format string, args ...any) {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, fmt.Sprintf(format, args...)))
		}
	}
	add(m.Doubled, "bookings ran more than once")
	add(m.Report.Mixed, "answers belonged to another request")
	add(m.Report.Partial, "partial answers were taken as whole")
	add(m.RefusedRan, "requests were refused as not run and ran")
	if m.MostRetries > Allowance {
		list = append(list, fmt.Sprintf("a request caused %d retries, %d are allowed", m.MostRetries, Allowance))
	}
	add(m.Disorder, "lesser calls were admitted after a more important one was refused for load; first: %s", firstOrUnknown(m.DisorderDetails))
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
