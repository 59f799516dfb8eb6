package wasabistate

// WithForgetEarly makes a machine forget the issue times of commands.
func (o Options) WithForgetEarly() Options {
	o.faults.forgetEarly = true
	return o
}

// WithReleaseByOthers makes a machine accept releases by nodes that do not
// own the claim.
func (o Options) WithReleaseByOthers() Options {
	o.faults.releaseByOthers = true
	return o
}
