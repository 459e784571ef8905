package deck

import (
	"context"
	"time"
)

// A ServiceCall is a caller's call to a plain service.
type ServiceCall struct {
	Method         string
	Path           string
	Query          string
	Headers        map[string]string
	Body           []byte
	IdempotencyKey string // the caller's idempotency key; empty for repeatable calls
}

// A ServiceAnswer is the response of a plain service, or the reason why there is none.
type ServiceAnswer struct {
	Outcome Outcome
	Status  int
	Headers map[string]string
	Body    []byte
	Reason  string // for outcomes other than OutcomeDone
	Notice  ServerNotice

	// Interrupted says that the instance closed the connection before its answer was complete, for OutcomeUnknown.
	Interrupted bool

	// RetryAfter is when the call may be sent again, for OutcomeNotRun; 0 if unknown.
	RetryAfter time.Duration
}

// A ServiceClient sends calls to plain service instances.
type ServiceClient interface {
	// Call sends the call to the given address exactly once and returns its outcome.
	Call(ctx context.Context, address string, call ServiceCall) ServiceAnswer

	// HasEnded reports whether nothing listens at the address. It opens a connection and sends nothing.
	HasEnded(ctx context.Context, address string) bool
}

// A ClaimStatus is the state of a key's idempotency record.
type ClaimStatus int

// The claim statuses; the zero value is ClaimUnavailable.
const (
	ClaimUnavailable ClaimStatus = iota // the log was not reachable, and this call claimed nothing
	ClaimGranted                        // the caller of Begin may send the call once
	ClaimInProgress                     // another VM claimed the key and has not finished
	ClaimFinished                       // the answer is recorded
	ClaimUnknown                        // the call may have run and its answer is lost
	ClaimMismatch                       // the key belongs to another request
)

// A Claim is the answer to a request for an idempotency key.
type Claim struct {
	Status ClaimStatus
	Answer ServiceAnswer // for ClaimFinished
}

// An IdempotencyStore keeps durable idempotency records.
type IdempotencyStore interface {
	// Begin claims the key durably; the call is sent only afterwards.
	Begin(ctx context.Context, key, digest string) Claim

	// Finish records the answer; OutcomeNotRun releases the key.
	Finish(ctx context.Context, key string, answer ServiceAnswer) error
}

// A CrashReport says that a request was running on a backend server process that crashed.
type CrashReport struct {
	Digest  string   // of the request
	Parts   []uint64 // fingerprints of the parts of its prompt that may be to blame
	Backend BackendName
	BootID  string // distinguishes crashes, so that several reports of one count once; if empty, each counts as a separate crash
	Alone   bool   // no other request in flight may have caused the crash
}

// A PoisonStore keeps the digests of requests, and the parts of prompts, that crash backend servers.
type PoisonStore interface {
	// IsRefused reports whether requests with the digest are refused.
	IsRefused(digest string) bool

	// IsPartRefused reports whether requests with the part in their prompt are refused.
	IsPartRefused(part uint64) bool

	// ReportCrash records a crash.
	ReportCrash(ctx context.Context, r CrashReport) error

	// ReportSound records that a backend server has written an answer on a prompt with the part, so that earlier crashes are no
	// evidence against it.
	ReportSound(ctx context.Context, part uint64) error
}
