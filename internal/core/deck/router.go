package deck

import (
	"context"
	"time"
)

// A RequestInfo describes an inference request for routing decisions.
type RequestInfo struct {
	Digest       string   // SHA-256 of the request's content, for poison-request detection
	Parts        []uint64 // fingerprints of the parts of the prompt that other requests may share, for the same
	Caller       string   // for fairness; empty for an anonymous caller
	Model        ModelName
	Adapter      AdapterName // empty for none
	Class        Class
	PrefixHashes []uint64  // hashes of the model and of growing blocks of the prompt, shortest first
	PromptTokens int       // estimated
	MaxTokens    int       // 0 if the caller gave no limit
	Deadline     time.Time // for the first token; zero for none
}

// A Refusal says why a request did not run and when it may be sent again.
type Refusal struct {
	Kind       RefusalKind
	Reason     string
	RetryAfter time.Duration // zero if sending it again does not help
}

// A RefusalKind is the cause of a refusal.
type RefusalKind int

// The kinds of refusal; all of them mean that the request did not run.
const (
	RefusedOverload RefusalKind = iota // queue full or deadline can't be met
	RefusedUnknownModel
	RefusedNoBackend // the model has no reachable replica
	RefusedPoison    // the request has crashed backend servers
	RefusedDraining  // this VM is shutting down
)

// A Router admits inference requests and chooses backend servers for their attempts.
type Router interface {
	// Admit waits in the queue until the request may start, or returns a refusal.
	Admit(ctx context.Context, r RequestInfo) (Admission, *Refusal)
}

// An Admission is an admitted request at the router, until it is released.
type Admission interface {
	// Choose returns the backend server for the next attempt, avoiding those given unless no other is left. Unless software is nil, it
	// is the version that began the answer, and a server that is known to run another one is not chosen.
	Choose(ctx context.Context, avoid []BackendName, software *SoftwareVersion) (BackendServer, *Refusal)

	// Observe reports an event of an attempt to the router.
	Observe(o Observation)

	// Preempted returns a channel that is closed when the request must cancel its attempt and call Choose again.
	Preempted() <-chan struct{}

	// Priority returns the priority for the next attempt; it decreases with the tokens used and increases with the waiting time.
	Priority() int

	// Release ends the admission; it may be called more than once.
	Release()
}

// An ObservationKind is the kind of an event of an attempt.
type ObservationKind int

// The kinds of observation.
const (
	ObservedStart ObservationKind = iota
	ObservedToken
	ObservedEnd      // the answer is complete
	ObservedCancel   // this VM ended the attempt
	ObservedStall    // no byte arrived on the connection within the stall timeout
	ObservedFailure  // the backend server answered with an error
	ObservedCrash    // the connection was reset or the boot ID changed
	ObservedDraining // the backend server refused because it is draining
)

// An Observation is an event of one attempt on a backend server.
type Observation struct {
	Kind    ObservationKind
	Backend BackendName
	At      time.Time
	Tokens  int // tokens since the previous observation of the attempt

	// Software is the version that the response to the attempt named; nil if no response has come.
	Software *SoftwareVersion
}
