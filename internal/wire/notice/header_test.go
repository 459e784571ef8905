package notice_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/notice"
)

// Guards against a notice that is taken from a value that says nothing, and against a pause that lasts for good.
func TestFromHeader(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		header map[string]string
		want   deck.ServerNotice
	}{
		{"nothing", 200, nil, deck.ServerNotice{}},
		{"leaving", 200, map[string]string{"Server-Leaving": "1"}, deck.ServerNotice{Leaving: true}},
		{"leaving refusal", 503, map[string]string{"Server-Leaving": " 1 "}, deck.ServerNotice{Leaving: true}},
		{"not leaving", 200, map[string]string{"Server-Leaving": "0"}, deck.ServerNotice{}},
		{"pause", 503, map[string]string{"Retry-After": "3"}, deck.ServerNotice{Pause: 3 * time.Second}},
		{"fraction", 503, map[string]string{"Retry-After": "0.25"}, deck.ServerNotice{Pause: 250 * time.Millisecond}},
		{"too many requests of one caller", 429, map[string]string{"Retry-After": "2"}, deck.ServerNotice{}},
		{"no refusal", 200, map[string]string{"Retry-After": "3"}, deck.ServerNotice{}},
		{"date", 503, map[string]string{"Retry-After": "Fri, 04 Dec 2026 21:00:00 GMT"}, deck.ServerNotice{}},
		{"negative", 503, map[string]string{"Retry-After": "-3"}, deck.ServerNotice{}},
		{"no number", 503, map[string]string{"Retry-After": "NaN"}, deck.ServerNotice{}},
		{"limit", 200, map[string]string{"Server-Limit": "2.8"}, deck.ServerNotice{Limited: true, Limit: 2.8}},
		{"limit of nothing", 200, map[string]string{"Server-Limit": "0"}, deck.ServerNotice{Limited: true}},
		{"negative limit", 200, map[string]string{"Server-Limit": "-1"}, deck.ServerNotice{}},
		{"no limit", 200, map[string]string{"Server-Limit": "Inf"}, deck.ServerNotice{}},
		{"no number as limit", 200, map[string]string{"Server-Limit": "many"}, deck.ServerNotice{}},
		{"endless", 503, map[string]string{"Retry-After": "Inf"}, deck.ServerNotice{Pause: time.Hour}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := make(http.Header)
			for name, value := range tc.header {
				h.Set(name, value)
			}
			is.Equal(notice.FromHeader(tc.status, h), tc.want)
		})
	}
}
