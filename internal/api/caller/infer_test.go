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

// TestStreamSurvivesFaults guards against an answer that is not whole, or in which a token repeats, after a fault of an
// engine or of the path to it.
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
			run(t, func(t *testing.T, r *rig) {
				is := is.New(t)
				r.engines["e1"].faults, r.engines["e2"].faults = faults[0], faults[1]
				a := r.post(t.Context(), chat, streamBody)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
				is.Equal(withoutComments(a.body), wholeStream())
				is.Equal(r.router.Released(), 1)
			})
		})
	}
}

// TestCutAnswer guards against a cut answer that looks whole.
func TestCutAnswer(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		for _, e := range r.engines {
			e.faults = append([]string{"reset:2"}, strings.Split(strings.Repeat("status:500,", 20), ",")...)
		}
		a := r.post(t.Context(), chat, streamBody)
		is.Equal(a.status, http.StatusOK)
		is.True(strings.Contains(a.body, "event: error\ndata: {\"error\":{"))
		is.True(strings.Contains(a.body, `"code":"answer_cut"`))
		is.True(!strings.Contains(a.body, "[DONE]"))
		is.True(!strings.Contains(a.body, "not-run"))
	})
}

// TestWholeAnswer guards against a document that lacks a token of the stream.
func TestWholeAnswer(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.engines["e1"].faults = []string{"reset:2"}
		a := r.post(t.Context(), chat, wholeBody)
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

// TestUsage guards against callers that can't tell what an answer has cost or why it ended, and against a chunk that a
// caller did not ask for.
func TestUsage(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		for _, e := range r.engines {
			e.usage = true
		}
		r.engines["e1"].faults = []string{"reset:2"}
		const tokens = `"usage":{"prompt_tokens":7,"completion_tokens":5,"total_tokens":12}`
		a := r.post(t.Context(), chat, wholeBody)
		var doc struct {
			Choices []struct {
				FinishReason string `json:"finish_reason"`
			}
			Usage map[string]int
		}
		is.NoErr(json.Unmarshal([]byte(a.body), &doc))
		is.Equal(doc.Choices[0].FinishReason, "stop")
		is.Equal(doc.Usage["total_tokens"], 12)
		a = r.post(t.Context(), chat, streamBody)
		is.True(strings.Contains(a.body, `"finish_reason":"stop"`))
		is.True(!strings.Contains(a.body, "usage"))
		a = r.post(t.Context(), chat, strings.Replace(streamBody, "{", `{"stream_options":{"include_usage":true},`, 1))
		is.Equal(strings.Count(a.body, "usage"), 1)
		is.True(strings.HasSuffix(a.body, `data: {"choices":[],"id":"c",`+tokens+"}\n\ndata: [DONE]\n\n"))
		is.True(strings.Contains(r.engines["e1"].bodies[0], `"include_usage":true`))
		a = r.post(t.Context(), chat, strings.Replace(wholeBody, "{", `{"stream_options":{"include_usage":true},`, 1))
		is.Equal(a.status, http.StatusBadRequest)
	})
}

// TestHeartbeat guards against a caller that takes a long wait for a dead connection.
func TestHeartbeat(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.router.Servers = r.router.Servers[:1]
		r.engines["e1"].faults = []string{"slow:12000"}
		a := r.post(t.Context(), chat, streamBody)
		is.Equal(withoutComments(a.body), wholeStream())
		is.Equal(strings.Count(a.body, ": running\n\n"), 10) // two in each wait of 12 s
	})
}

// TestCallerGone guards against an engine that goes on working for a caller that left.
func TestCallerGone(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.engines["e1"].faults = []string{"slow:1000"}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		is.True(r.post(ctx, chat, streamBody).err != nil)
		synctest.Wait()
		is.Equal(len(r.engines["e1"].cancels), 1)
		is.True(strings.Contains(r.engines["e1"].cancels[0], r.engines["e1"].seen[0].Header.Get("Request-ID")))
		is.Equal(r.router.Observations("e1"), []deck.ObservationKind{deck.ObservedStart, deck.ObservedCancel})
		is.Equal(r.router.Released(), 1)
	})
}

// TestStuckCaller guards against an answer that is held for good because its caller takes no data.
func TestStuckCaller(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		conn, err := r.net.Dial(t.Context(), "", "entry:80")
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", chat, len(streamBody), streamBody)
		is.NoErr(err)
		time.Sleep(writeTimeout - time.Second)
		is.Equal(r.router.Released(), 0)
		time.Sleep(2 * time.Second)
		is.Equal(r.router.Released(), 1)
		is.Equal(r.router.Observations("e1"), []deck.ObservationKind{deck.ObservedStart, deck.ObservedCancel})
	})
}

// TestConnectionReuse guards against a write deadline that ends a later response on the same connection.
func TestConnectionReuse(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.client.Transport = &http.Transport{DialContext: r.net.Dial}
		defer r.client.CloseIdleConnections()
		for range 2 {
			is.Equal(r.post(t.Context(), chat, streamBody).body, wholeStream())
			time.Sleep(writeTimeout + time.Second)
			// net/http answers the first path with a redirect, for which no deadline is set.
			is.Equal(r.send(t.Context(), http.MethodGet, "//v1/models", "").status, http.StatusOK)
			time.Sleep(writeTimeout + time.Second)
			is.Equal(r.send(t.Context(), http.MethodGet, "//v1/models", "").status, http.StatusOK)
		}
		is.Equal(r.net.Dials("entry:80"), 1)
	})
}

// withoutComments drops heartbeats.
func withoutComments(s string) string {
	return strings.ReplaceAll(s, ": running\n\n", "")
}
