package deck

// An Outcome says what is known about a call that was sent, or not sent, to a backend server.
type Outcome int

// The outcomes; the zero value is OutcomeUnknown, so that an unset outcome never claims that nothing ran.
const (
	OutcomeUnknown Outcome = iota // it may or may not have run
	OutcomeDone                   // it ran and its answer is known
	OutcomeNotRun                 // it is proven that it did not run
)

// String returns the outcome's name as used in answers and logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
