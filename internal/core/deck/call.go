package deck

import (
	"net/http"
	"time"
)

// A PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// A Call holds what the system needs to know about a caller's request besides its bytes.
type Call struct {
	ID           RequestID     // identifies this attempt of the caller
	Timeout      time.Duration // how long the caller waits after the request arrived; 0 if it gave no limit
	Model        ModelName     // empty for calls to plain services
	Adapter      AdapterName   // empty for none
	PromptTokens int
	MaxTokens    int // most tokens that may be generated

	HasTokenUsage bool // the caller named PromptTokens and MaxTokens
	Parts         []PromptPart
	LastEventID   string // ID of the event after which the caller resumes a stream; empty for none

	// Resumes is the ID of the caller's attempt that brought the first event of the stream that the call resumes; empty for none.
	Resumes RequestID
	Keys    []APIKey
}

// An AnswerVerdict says what the response of a backend server proves about the call.
type AnswerVerdict int

// The verdicts; the zero value is the most conservative one.
const (
	AnswerInconclusive AnswerVerdict = iota // a failure that leaves open whether the call ran
	AnswerComplete                          // the backend server's own response to the call
	AnswerNotRun                            // refused before it ran
	AnswerOtherServer                       // another backend server has the address; not run
	AnswerNotLoaded                         // the engine does not hold the model or adapter; not run
	AnswerOtherCall                         // the response to another call
)

// An Answer is the information in the head of a backend server's response.
type Answer struct {
	Verdict    AnswerVerdict
	Identified bool // the answer repeats the ID of the call
	Load       ServerLoad
	HasLoad    bool
	Notice     ServerNotice
}

// A ServerLoad is the load that a backend server reported in a response.
type ServerLoad struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // duration of work relative to its normal duration; at 2, work takes twice as long
}

// A CallCodec translates between calls and the HTTP headers of the platform.
type CallCodec interface {
	// ReadCall parses the headers of a caller's request. The call has the caller's keys even if there is an error.
	ReadCall(r *http.Request) (Call, error)

	// SetHeaders replaces the platform's headers among the end-to-end headers of a caller's request by those for a backend server.
	SetHeaders(h http.Header, o Offer)

	// ReadAnswer classifies the head of a response to the call.
	ReadAnswer(c Call, resp *http.Response) Answer

	// ReadHealth parses an engine's response to a liveness check; ok is false if resp is the response to another request.
	ReadHealth(resp *http.Response) (h ServerHealth, ok bool)
}

// A ServerHealth is what an engine reports in its response to a liveness check. It leaves out whether the engine reports
// itself as healthy, since that may be wrong.
type ServerHealth struct {
	Server  BackendName // empty if not reported
	Load    ServerLoad
	HasLoad bool
	Notice  ServerNotice
}

// An Offer describes one attempt to run a call at a backend server.
type Offer struct {
	Server      Server
	Remaining   time.Duration // until the caller or the route gives up
	Priority    int           // 0 (runs first) to 9; negative for none
	LastEventID string        // ID of the event after which the stream resumes; empty for none
	Customer    CustomerName  // on whose behalf the call runs; empty if none was asked for
	HideKeys    bool          // the caller's keys are for this system and must not reach the backend server
}
