package engine

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// answerUnframed sends a response whose body has neither a length nor chunks and closes the connection after it.
func answerUnframed(w http.ResponseWriter, contentType, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBoot-ID: b1\r\nConnection: close\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
}

// TestUnframedStream guards against an engine that crashed under a stream without length or chunks not being seen as crashed, so
// that a request which crashes engines goes unnoticed.
func TestUnframedStream(t *testing.T) {
	for _, tc := range []struct{ name, body, kind string }{
		{"whole", token(0) + "data: [DONE]\n\n", "<nil>"},
		{"ends before the first event", "", "crashed"},
		{"ends between events", token(0), "crashed"},
		{"ends within an event", token(0) + "id: 1\nda", "crashed"},
		{"ends within the end event", token(0) + "data: [DONE]\n", "crashed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := func(w http.ResponseWriter, _ *http.Request) { answerUnframed(w, "text/event-stream", tc.body) }
			withEngine(t, h, func(t *testing.T, r *testEnv) {
				is := is.New(t)
				_, err := collect(t.Context(), r.client, generationRequest)
				is.Equal(errorKind(err), tc.kind)
			})
		})
	}
}

// TestUnframedKV guards against a KV cache that was cut short by a lost connection being moved as a whole one.
func TestUnframedKV(t *testing.T) {
	h := func(w http.ResponseWriter, _ *http.Request) {
		answerUnframed(w, "application/octet-stream", "half of the")
	}
	withEngine(t, h, func(t *testing.T, r *testEnv) {
		is := is.New(t)
		_, err := r.client.ExportKV(t.Context(), "r1")
		is.True(err != nil)
	})
}
