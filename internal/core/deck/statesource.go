package deck

// A StateSource provides the state in force on this VM.
type StateSource interface {
	// State returns the state in force; its version never decreases.
	State() State

	// Changed returns a channel that is closed when the state in force is replaced.
	Changed() <-chan struct{}

	// Proven reports whether the state was shown to be as new as that of a majority of control replicas.
	Proven() bool
}
