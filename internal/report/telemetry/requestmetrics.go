package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// RequestMetrics records metrics of finished requests and passes the requests on to the next recorder.
type RequestMetrics struct {
	next             deck.RequestRecorder
	requests         metric.Int64Counter
	tokens           metric.Int64Counter
	attempts         metric.Int64Counter
	otherSoftware    metric.Int64Counter
	timeToFirstToken metric.Float64Histogram
	tokenGapP95      metric.Float64Histogram
}

var _ deck.RequestRecorder = (*RequestMetrics)(nil)

// NewRequestMetrics returns a recorder that records to instruments of the meter and then to next.
func NewRequestMetrics(meter metric.Meter, next deck.RequestRecorder) (*RequestMetrics, error) {
	s := &RequestMetrics{next: next}
	var errs [6]error
	s.requests, errs[0] = meter.Int64Counter("geraniumdeck.requests",
		metric.WithUnit("{request}"), metric.WithDescription("Finished inference requests by class and result."))
	s.tokens, errs[1] = meter.Int64Counter("geraniumdeck.tokens",
		metric.WithUnit("{token}"), metric.WithDescription("Tokens delivered to callers."))
	s.attempts, errs[2] = meter.Int64Counter("geraniumdeck.attempts",
		metric.WithUnit("{attempt}"), metric.WithDescription("Attempts at engines, retries and hedges included."))
	s.timeToFirstToken, errs[3] = meter.Float64Histogram("geraniumdeck.first_token.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from arrival to the first token."),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 5, 10))
	s.tokenGapP95, errs[4] = meter.Float64Histogram("geraniumdeck.between_tokens.duration",
		metric.WithUnit("s"), metric.WithDescription("95th percentile between tokens of each request."),
		metric.WithExplicitBucketBoundaries(0.01, 0.02, 0.03, 0.04, 0.047, 0.06, 0.1, 0.2, 1))
	s.otherSoftware, errs[5] = meter.Int64Counter("geraniumdeck.attempts.other_software",
		metric.WithUnit("{attempt}"), metric.WithDescription("Attempts at engines of another software version than that of the answer."))
	return s, errors.Join(errs[:]...)
}

// Record implements deck.RequestRecorder.
func (s *RequestMetrics) Record(v deck.RequestSummary) {
	ctx := context.Background()
	class := attribute.String("class", v.Class.String())
	s.requests.Add(ctx, 1, metric.WithAttributes(class, attribute.String("result", v.Result.String())))
	s.tokens.Add(ctx, int64(v.Tokens), metric.WithAttributes(class))
	s.attempts.Add(ctx, int64(v.Attempts), metric.WithAttributes(class))
	s.otherSoftware.Add(ctx, int64(v.OtherSoftware), metric.WithAttributes(class))
	if v.Tokens > 0 {
		s.timeToFirstToken.Record(ctx, v.TimeToFirstToken.Seconds(), metric.WithAttributes(class))
		s.tokenGapP95.Record(ctx, v.TokenGapP95.Seconds(), metric.WithAttributes(class))
	}
	s.next.Record(v)
}
