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

// A Call is what the system has to know of a caller's request besides its bytes.
type Call struct {
	ID           RequestID     // of this attempt of the caller
	Deadline     time.Duration // how long the caller waits from the arrival on; 0 if it did not say
	Model        ModelName     // empty for calls to plain services
	Adapter      AdapterName   // empty for none
	PromptTokens int
	MaxTokens    int // most tokens that may be generated
	Parts        []PromptPart
	LastEvent    string // the event after which the caller resumes a stream; empty for none
}

// An AnswerVerdict says what an answer of a backend server proves about the call.
type AnswerVerdict int

// The verdicts; the zero value is the most careful one.
const (
	AnswerUnproven    AnswerVerdict = iota // a failure that does not tell whether the call ran
	AnswerComplete                         // the backend server's own answer to the call
	AnswerNotRun                           // refused before it ran
	AnswerOtherServer                      // another backend server has the address; not run
	AnswerNotHeld                          // the engine does not hold the model or adapter; not run
	AnswerForeign                          // belongs to another call
)

// An Answer is what the head of a backend server's response says.
type Answer struct {
	Verdict AnswerVerdict
	Load    ServerLoad
	HasLoad bool
}

// A ServerLoad is a backend server's load as of an answer.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // time that work takes against the usual time; 1 is usual
}

// A CallCodec reads callers' requests and speaks to backend servers in the platform's protocol.
type CallCodec interface {
	// ReadCall returns what the request's headers say.
	ReadCall(r *http.Request) (Call, error)

	// SetHeaders adapts end-to-end headers of a caller's request for a backend server.
	SetHeaders(h http.Header, o Offer)

	// ReadAnswer judges the head of a response to the call.
	ReadAnswer(c Call, resp *http.Response) Answer

	// ReadHealth returns what an engine's answer to a liveness check tells; ok is false if it is none or tells no load.
	ReadHealth(resp *http.Response) (h ServerHealth, ok bool)
}

// A ServerHealth is what an engine tells in its answer to a liveness check. Whether it calls itself healthy is not part of it,
// since that may be wrong.
type ServerHealth struct {
	Server BackendName // empty if it does not say
	Load   ServerLoad
}

// An Offer is one attempt to have a backend server run a call.
type Offer struct {
	Server    Server
	Remaining time.Duration // until the caller or the route gives up
	Priority  int           // 0 (first) to 9; negative for none
	LastEvent string        // resumes the stream after this event; empty for none
}
