package deck

import "fmt"

// An EngineErrorKind says what an engine's failure means for the attempt.
type EngineErrorKind int

// The kinds of engine error.
const (
	EngineFailed        EngineErrorKind = iota // the engine answered with an error or broke the protocol
	EngineUnreachable                          // no connection was made, so nothing was sent
	EngineStalled                              // no byte arrived on the connection within the stall timeout
	EngineConnClosed                           // a pooled connection was closed, but the engine did not restart
	EngineCrashed                              // the connection was reset or the boot ID changed
	EngineDraining                             // the engine refused because it is draining; nothing ran
	EngineRejected                             // the engine refused the request's content; nothing ran
	EngineNotLoaded                            // the engine does not hold the model or adapter; nothing ran
	EngineRefused                              // the engine takes no requests for a while; nothing ran
	EngineOtherSoftware                        // the engine runs another software version than the one that began the answer
)

// String returns the kind's name as used in logs.
func (k EngineErrorKind) String() string {
	names := [...]string{
		"failed", "unreachable", "stalled", "broken", "crashed", "draining", "rejected", "not-loaded", "refused", "other-software",
	}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// An EngineError reports why a call to an engine returned no result.
type EngineError struct {
	Kind   EngineErrorKind
	Status int    // HTTP status; 0 if there was none
	Body   []byte // the engine's response for EngineRejected, truncated
	BootID string // boot ID of the engine process that the attempt ran on; empty if unknown
	Err    error
}

// Error implements error.Error.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine %s (status %d): %v", e.Kind, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error {
	return e.Err
}

// A BootIdentified value comes from an engine process with a known boot ID.
type BootIdentified interface {
	// BootID returns the boot ID of the engine process.
	BootID() string
}
