package ingress_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestLateCopyOfARefusalIsNoAnswerToAnotherCallWithItsID guards against a caller that is refused and asks again under the same ID: a late copy
// of the refusal on the same connection bears that ID, so a call that runs is sent to a second server, or is reported as not run.
func TestLateCopyOfARefusalIsNoAnswerToAnotherCallWithItsID(t *testing.T) {
	for _, tc := range []struct{ name, refusal string }{
		{"full", "503 Service Unavailable\r\nNot-Run: 1"},
		{"address of another server", "421 Misdirected Request"},
		{"model not loaded", "421 Misdirected Request\r\nNot-Loaded: 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := &lateCopier{refusal: tc.refusal}
			server := b.serve(t)
			h := newHarness(t, []deck.Route{{Prefix: "/p/", Kind: deck.CallStream, MaxAttempts: 2}}, server)
			refused := h.call(t, http.MethodPost, "/p/x", "{}")
			is.NoErr(refused.err)
			is.Equal(refused.status, http.StatusServiceUnavailable)

			h.setServers()
			h.setServers(server) // it is new to the balancer, so no longer avoided
			res := h.call(t, http.MethodPost, "/p/x", "{}")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusOK)
			is.Equal(res.body, "id: 1\ndata: ok\n\n")
			is.Equal(b.runs.Load(), int32(1))
		})
	}
}
