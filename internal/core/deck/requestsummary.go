package deck

import "time"

// A ServedResult is the outcome of a request for its caller.
type ServedResult int

// The results; the zero value is ServedComplete.
const (
	ServedComplete  ServedResult = iota
	ServedRefused                // it did not run, and the caller received a refusal
	ServedCutOff                 // the answer ended with an error
	ServedAbandoned              // the caller disconnected
)

// String returns the result's name as used in metrics.
func (r ServedResult) String() string {
	switch r {
	case ServedComplete:
		return "complete"
	case ServedRefused:
		return "refused"
	case ServedCutOff:
		return "cut-off"
	default:
		return "abandoned"
	}
}

// A Served summarises one request for reports.
type Served struct {
	Class         Class
	Model         ModelName
	Result        ServedResult
	FirstToken    time.Duration // from arrival; 0 if there was none
	BetweenTokens time.Duration // 95th percentile of the gaps between the request's tokens
	Tokens        int
	Attempts      int
}

// A ServedRecorder receives the summaries of finished requests.
type ServedRecorder interface {
	// Record records one summary.
	Record(s Served)
}

// A NullServedRecorder discards all summaries.
type NullServedRecorder struct{}

var _ ServedRecorder = NullServedRecorder{}

// Record implements ServedRecorder.Record.
func (NullServedRecorder) Record(Served) {}
