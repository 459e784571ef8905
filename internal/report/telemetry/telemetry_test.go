package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
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

// Guards against lines of the log that hold what a backend server has sent in place of an answer, of any length.
func TestLongTextsAreCutInTheLog(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	text := strings.Repeat("ü", 32<<10)
	log := NewLogger(&b, "vm-1")
	log.Info("offer failed", "reason", text, "attempts", 2)
	log.Error(errors.New(text), "failed", "reason", "short")
	is.True(utf8.ValidString(b.String()))
	for line := range strings.Lines(b.String()) {
		is.True(len(line) < 4<<10)
		is.True(strings.Contains(line, "üüü"))
	}
	is.True(strings.Contains(b.String(), `"attempts":2`))
	is.True(strings.Contains(b.String(), `"reason":"short"`))
}
