package deck

import "time"

// A RequestResult is the outcome of a request for its caller.
type RequestResult int

// The results; the zero value is RequestComplete.
const (
	RequestComplete  RequestResult = iota
	RequestRefused                 // it did not run, and the caller received a refusal
	RequestCutOff                  // the answer ended with an error
	RequestAbandoned               // the caller disconnected
)

// String returns the result's name as used in metrics.
func (r RequestResult) String() string {
	switch r {
	case RequestComplete:
		return "complete"
	case RequestRefused:
		return "refused"
	case RequestCutOff:
		return "cut-off"
	default:
		return "abandoned"
	}
}

// A RequestSummary summarises one request for reports.
type RequestSummary struct {
	Class            Class
	Model            ModelName
	Result           RequestResult
	TimeToFirstToken time.Duration // from arrival; 0 if there was none
	TokenGapP95      time.Duration // 95th percentile of the gaps between the request's tokens
	Tokens           int
	Attempts         int
	OtherSoftware    int // attempts at engines of another software version than the one that began the answer
}

// A RequestRecorder receives the summaries of finished requests.
type RequestRecorder interface {
	// Record records one summary.
	Record(s RequestSummary)
}

// A NopRequestRecorder discards all summaries.
type NopRequestRecorder struct{}

var _ RequestRecorder = NopRequestRecorder{}

// Record implements RequestRecorder.Record.
func (NopRequestRecorder) Record(RequestSummary) {}
