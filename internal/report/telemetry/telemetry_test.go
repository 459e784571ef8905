package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against instruments that are missing from the scrape endpoint or appear there without their unit.
func TestServedMetricsAreScraped(t *testing.T) {
	is := is.New(t)
	m, err := NewMetrics()
	is.NoErr(err)
	s, err := NewRequestMetrics(m.Meter(), deck.NopRequestRecorder{})
	is.NoErr(err)
	s.Record(deck.RequestSummary{TimeToFirstToken: time.Second, Tokens: 3, Attempts: 2})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	for _, want := range []string{
		"geraniumdeck_requests_total", `result="complete"`, "geraniumdeck_first_token_duration_seconds_bucket",
	} {
		is.True(strings.Contains(w.Body.String(), want))
	}
}
