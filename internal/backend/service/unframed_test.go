package service

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// unframed returns a handler whose response has neither a length nor chunks and ends with its connection.
func unframed(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n\r\n%s", contentType, body)
	}
}

// TestUnframedOutcomes guards against an answer that a lost connection cut off within an event being taken for a complete one.
func TestUnframedOutcomes(t *testing.T) {
	for _, tc := range []struct {
		contentType, body string
		outcome           deck.Outcome
	}{
		{"text/plain", "booked", deck.OutcomeDone},
		{"text/event-stream", "data: booked\n\n", deck.OutcomeDone},
		{"text/event-stream", "data: booked\n", deck.OutcomeUnknown},
		{"text/event-stream; charset=utf-8", "data: booked\n\ndata:", deck.OutcomeUnknown},
	} {
		withService(t, unframed(tc.contentType, tc.body), func(t *testing.T, c *Client, _ *atomic.Int32) {
			is := is.New(t)
			is.Equal(c.Call(t.Context(), address, keyed).Outcome, tc.outcome)
		})
	}
}
