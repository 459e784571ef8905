package hedge

// A Call is what is known of a call when its answer is late.
type Call struct {
	Repeatable   bool // it may run on several servers
	Begun        bool // the caller has a part of the answer
	Suspect      bool // it may crash servers
	Stopping     bool // this VM stops
	PossibleRuns int  // on earlier servers
	MaxAttempts  int  // on all servers
}

// Eligible reports whether the call may be sent to a second server while the first one still works on it.
func (c Call) Eligible() bool {
	return c.Repeatable && !c.Begun && !c.Suspect && !c.Stopping && c.PossibleRuns+2 <= c.MaxAttempts
}
