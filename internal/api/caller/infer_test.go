package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestStreamSurvivesFaults guards against an answer that lacks or repeats a token after engines or connections to them failed.
func TestStreamSurvivesFaults(t *testing.T) {
	for name, faults := range map[string][2][]string{
		"none":                     {},
		"refused":                  {{"status:500"}, {}},
		"draining":                 {{"draining"}, {}},
		"reset at start":           {{"reset:0"}, {}},
		"reset in mid-stream":      {{"reset:3"}, {}},
		"reset twice":              {{"reset:3", "reset:4"}, {"reset:4"}},
		"silent, then reconnected": {{"silent:2"}, {}},
		"silent twice":             {{"silent:2", "silent:2"}, {}},
		"slow first token":         {{"slow:1500"}, {}},
		"all at once":              {{"silent:1", "reset:2"}, {"status:503", "draining", "reset:4"}},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				f.engines["e1"].faults, f.engines["e2"].faults = faults[0], faults[1]
				a := f.post(t.Context(), chatPath, streamBody)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
				is.Equal(withoutComments(a.body), completeStream())
				is.Equal(f.router.ReleaseCount(), 1)
			})
		})
	}
}

// TestIncompleteStream guards against a stream that breaks off on every engine and yet looks complete to the caller.
func TestIncompleteStream(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for _, e := range f.engines {
			e.faults = append([]string{"reset:2"}, strings.Split(strings.Repeat("status:500,", 20), ",")...)
		}
		a := f.post(t.Context(), chatPath, streamBody)
		is.Equal(a.status, http.StatusOK)
		is.True(strings.Contains(a.body, "event: error\ndata: {\"error\":{"))
		is.True(strings.Contains(a.body, `"code":"answer_cut"`))
		is.True(!strings.Contains(a.body, "[DONE]"))
		is.True(!strings.Contains(a.body, "not-run"))
	})
}

// TestNonStreamingAnswer guards against a JSON document that lacks tokens after the engine's connection was reset in mid-stream.
func TestNonStreamingAnswer(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.engines["e1"].faults = []string{"reset:2"}
		a := f.post(t.Context(), chatPath, nonStreamBody)
		is.Equal(a.status, http.StatusOK)
		var doc struct {
			Object  string
			Choices []struct{ Message struct{ Content string } }
		}
		is.NoErr(json.Unmarshal([]byte(a.body), &doc))
		is.Equal(doc.Object, "chat.completion")
		is.Equal(doc.Choices[0].Message.Content, answerText)
	})
}

// TestUsage guards against answers without the token usage or the finish reason, and against a usage chunk that the caller did
// not ask for.
func TestUsage(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for _, e := range f.engines {
			e.usage = true
		}
		f.engines["e1"].faults = []string{"reset:2"}
		const tokens = `"usage":{"prompt_tokens":7,"completion_tokens":5,"total_tokens":12}`
		a := f.post(t.Context(), chatPath, nonStreamBody)
		var doc struct {
			Choices []struct {
				FinishReason string `json:"finish_reason"`
			}
			Usage map[string]int
		}
		is.NoErr(json.Unmarshal([]byte(a.body), &doc))
		is.Equal(doc.Choices[0].FinishReason, "stop")
		is.Equal(doc.Usage["total_tokens"], 12)
		a = f.post(t.Context(), chatPath, streamBody)
		is.True(strings.Contains(a.body, `"finish_reason":"stop"`))
		is.True(!strings.Contains(a.body, "usage"))
		a = f.post(t.Context(), chatPath, strings.Replace(streamBody, "{", `{"stream_options":{"include_usage":true},`, 1))
		is.Equal(strings.Count(a.body, "usage"), 1)
		is.True(strings.HasSuffix(a.body, `data: {"choices":[],"id":"c",`+tokens+"}\n\ndata: [DONE]\n\n"))
		is.True(strings.Contains(f.engines["e1"].bodies[0], `"include_usage":true`))
		a = f.post(t.Context(), chatPath, strings.Replace(nonStreamBody, "{", `{"stream_options":{"include_usage":true},`, 1))
		is.Equal(a.status, http.StatusBadRequest)
	})
}

// TestHeartbeat guards against a caller that takes the connection for dead because no heartbeat arrives while an engine is slow.
func TestHeartbeat(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.router.Servers = f.router.Servers[:1]
		f.engines["e1"].faults = []string{"slow:12000"}
		a := f.post(t.Context(), chatPath, streamBody)
		is.Equal(withoutComments(a.body), completeStream())
		is.Equal(strings.Count(a.body, ": running\n\n"), 10) // two in each of five waits of 12 s
	})
}

// TestCallerDisconnects guards against an engine that keeps generating after the caller disconnected.
func TestCallerDisconnects(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.engines["e1"].faults = []string{"slow:1000"}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		is.True(f.post(ctx, chatPath, streamBody).err != nil)
		synctest.Wait()
		is.Equal(len(f.engines["e1"].cancels), 1)
		is.True(strings.Contains(f.engines["e1"].cancels[0], f.engines["e1"].requests[0].Header.Get("Request-ID")))
		is.Equal(f.router.Observations("e1"), []deck.ObservationKind{deck.ObservedStart, deck.ObservedCancel})
		is.Equal(f.router.ReleaseCount(), 1)
	})
}

// TestStalledCaller guards against an answer that occupies its engine for ever because the caller stops reading.
func TestStalledCaller(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		conn, err := f.net.Dial(t.Context(), "", "entry:80")
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s",
			chatPath, len(streamBody), streamBody)
		is.NoErr(err)
		time.Sleep(writeTimeout - time.Second)
		is.Equal(f.router.ReleaseCount(), 0)
		time.Sleep(2 * time.Second)
		is.Equal(f.router.ReleaseCount(), 1)
		is.Equal(f.router.Observations("e1"), []deck.ObservationKind{deck.ObservedStart, deck.ObservedCancel})
	})
}

// TestConnectionReuse guards against a write deadline that remains set and breaks a later response on the same connection.
func TestConnectionReuse(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.client.Transport = &http.Transport{DialContext: f.net.Dial}
		defer f.client.CloseIdleConnections()
		for range 2 {
			is.Equal(f.post(t.Context(), chatPath, streamBody).body, completeStream())
			time.Sleep(writeTimeout + time.Second)
			// net/http answers the first path with a redirect, for which no deadline is set.
			is.Equal(f.send(t.Context(), http.MethodGet, "//v1/models", "").status, http.StatusOK)
			time.Sleep(writeTimeout + time.Second)
			is.Equal(f.send(t.Context(), http.MethodGet, "//v1/models", "").status, http.StatusOK)
		}
		is.Equal(f.net.Dials("entry:80"), 1)
	})
}

// withoutComments returns s without its heartbeats.
func withoutComments(s string) string {
	return strings.ReplaceAll(s, ": running\n\n", "")
}
