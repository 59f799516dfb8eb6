package wasabistate

// WithIgnoredEvictions makes a machine ignore the issue times of evicted commands.
func (o Options) WithIgnoredEvictions() Options {
	o.faults.ignoreEvictions = true
	return o
}

// WithReleaseByOthers makes a machine accept releases from nodes that do not
// own the claim.
func (o Options) WithReleaseByOthers() Options {
	o.faults.releaseByOthers = true
	return o
}
