package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestBadRequests guards against invalid input that is admitted, or whose error response lacks the code or "not run".
func TestBadRequests(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		for _, tc := range []struct {
			body    string
			headers []string
			want    string
		}{
			{`{`, nil, "400 invalid_request"},
			{`null`, nil, "400 invalid_request"},
			{`[]`, nil, "400 invalid_request"},
			{`{"messages":[{"role":"user","content":"hi"}]}`, nil, "400 invalid_request"},
			{`{"model":7,"messages":[]}`, nil, "400 invalid_request"},
			{`{"model":"m","messages":[]}`, nil, "400 invalid_request"},
			{`{"model":"m","messages":["hi"]}`, nil, "400 invalid_request"},
			{`{"model":"m","prompt":{}}`, nil, "400 invalid_request"},
			{`{"model":"m","prompt":"x","stream":"yes"}`, nil, "400 invalid_request"},
			{`{"model":"m","prompt":"x","max_tokens":-1}`, nil, "400 invalid_request"},
			{`{"model":"m","prompt":"x","max_tokens":1.5}`, nil, "400 invalid_request"},
			{`{"model":"m","prompt":"x","max_tokens":99999999}`, nil, "400 invalid_request"},
			{`{"model":"` + strings.Repeat("m", 300) + `","prompt":"x"}`, nil, "400 invalid_request"},
			{`{"model":"x","prompt":"x"}`, nil, "404 model_not_found"},
			{`{"model":"night:a","prompt":"x"}`, nil, "404 model_not_found"}, // the adapter belongs to another model
			{nonStreamBody, []string{"Service-Class", "urgent"}, "400 invalid_service_class"},
			{nonStreamBody, []string{"Deadline-Ms", "0"}, "400 invalid_deadline"},
			{nonStreamBody, []string{"Deadline-Ms", "99999999999"}, "400 invalid_deadline"},
			// Without the header, the client may see the refused body's pipe close before it reads the answer.
			{strings.Repeat("x", defaultMaxBodyBytes+1), []string{"Expect", "100-continue"}, "413 body_too_large"},
		} {
			is := is.New(t)
			a := f.post(t.Context(), chatPath, tc.body, tc.headers...)
			is.NoErr(a.err)
			var e errorBody
			is.NoErr(json.Unmarshal([]byte(a.body), &e))
			is.Equal(fmt.Sprint(a.status, " ", e.Error.Code), tc.want)
			is.Equal(a.headers.Get("Not-Run"), "true")
			is.True(e.Error.NotRun)
			is.Equal(e.Error.Type, "invalid_request_error")
		}
		is.New(t).Equal(len(f.router.Admitted()), 0)
	})
}

// TestRequestInfo guards against a header or field of the request that does not reach the router or the engine.
func TestRequestInfo(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		body := `{"model":"m:a","max_tokens":9,"seed":18446744073709551615,"messages":[{"role":"user","content":"` +
			strings.Repeat("x", 600) + `"}]}`
		f.post(t.Context(), chatPath, body, "Service-Class", "batch", "Deadline-Ms", "1500", "Authorization", "Bearer secret")
		f.post(t.Context(), "/v1/completions", `{"model":"night","prompt":"x"}`)
		infos := f.router.Admitted()
		first, second := infos[0], infos[1]
		is.Equal(first.Model, deck.ModelName("m"))
		is.Equal(first.Adapter, deck.AdapterName("a"))
		is.Equal(first.Class, deck.Batch)
		is.Equal(first.MaxTokens, 9)
		is.Equal(len(first.PrefixHashes), 2)
		is.True(time.Until(first.Deadline) > 0)
		is.True(!strings.Contains(first.Caller, "secret"))
		is.Equal(second.Class, deck.Batch) // the model's default
		is.Equal(second.Caller, "pipe")
		is.True(first.Digest != second.Digest)
		is.Equal(f.engines["e1"].requests[0].Header.Get("Adapter"), "a")
		is.Equal(f.engines["e1"].requests[0].Header.Get("Model-Version"), "v1")
		is.True(strings.Contains(f.engines["e1"].bodies[0], `"model":"m","seed":18446744073709551615,"stream":true`))
	})
}

// TestRefusals guards against a refusal by the router or an engine that gets a wrong status or lacks "not run".
func TestRefusals(t *testing.T) {
	for kind, want := range map[deck.RefusalKind]string{
		deck.RefusedOverload:     "429 overloaded",
		deck.RefusedUnknownModel: "404 model_not_found",
		deck.RefusedNoBackend:    "503 no_backend",
		deck.RefusedPoison:       "422 poison_request",
		deck.RefusedDraining:     "503 draining",
	} {
		run(t, func(t *testing.T, f *fixture) {
			is := is.New(t)
			f.router.Refusal = &deck.Refusal{Kind: kind, RetryAfter: 1200 * time.Millisecond}
			a := f.post(t.Context(), chatPath, streamBody)
			var e errorBody
			is.NoErr(json.Unmarshal([]byte(a.body), &e))
			is.Equal(fmt.Sprint(a.status, " ", e.Error.Code), want)
			is.Equal(a.headers.Get("Retry-After"), "2")
			is.Equal(a.headers.Get("Not-Run"), "true")
		})
	}
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.engines["e1"].faults = []string{"status:400"}
		a := f.post(t.Context(), chatPath, streamBody)
		is.Equal(a.status, http.StatusBadRequest) // the engine's error document is relayed
		is.Equal(a.body, `{"error":{"message":"engine says no"}}`)
		is.Equal(a.headers.Get("Not-Run"), "true")
	})
}

// TestDrain guards against a shutdown that ends an answer in progress or accepts new requests.
func TestDrain(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.engines["e1"].faults = []string{"slow:500"}
		var running response
		var group errgroup.Group
		group.Go(func() error {
			running = f.post(t.Context(), chatPath, `{"model":"night","stream":true,"prompt":"x"}`)
			return nil
		})
		time.Sleep(time.Second)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(errors.Is(f.handler.Drain(short), context.DeadlineExceeded))
		late := f.post(t.Context(), chatPath, streamBody)
		is.Equal(late.status, http.StatusServiceUnavailable)
		is.Equal(late.headers.Get("Not-Run"), "true")
		is.NoErr(f.handler.Drain(t.Context()))
		is.NoErr(group.Wait())
		is.Equal(running.body, completeStream())
	})
}

// TestStreamLimit guards against more requests in flight than MaxStreams, which would exhaust the VM's memory.
func TestStreamLimit(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.handler.MaxStreams = 1
		f.engines["e1"].faults = []string{"slow:500"}
		var group errgroup.Group
		group.Go(func() error { return f.post(t.Context(), chatPath, streamBody).err })
		time.Sleep(time.Second)
		is.Equal(f.post(t.Context(), chatPath, streamBody).status, http.StatusServiceUnavailable)
		is.NoErr(group.Wait())
		is.Equal(f.post(t.Context(), chatPath, streamBody).status, http.StatusOK)
		is.Equal(f.send(t.Context(), http.MethodGet, "/v1/models", "").body,
			`{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"geraniumdeck"},`+
				`{"id":"m:a","object":"model","created":0,"owned_by":"geraniumdeck"},`+
				`{"id":"night","object":"model","created":0,"owned_by":"geraniumdeck"}]}`)
	})
}

// FuzzDecodeInference guards against a request body that crashes the process, or whose prompt changes on its way to the engine.
func FuzzDecodeInference(f *testing.F) {
	for _, seed := range []string{
		nonStreamBody, streamBody, `{"model":"m","prompt":["a",[1,2]],"max_tokens":3}`, `{"model":"","prompt":null}`, `{`, `[[`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}]}`, "\xff", `{"model":"m","model":"n","prompt":"x"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := decodeInference(body)
		if err != nil {
			return
		}
		once := q.engineBody("m")
		again, err := decodeInference(once)
		if err != nil || !again.stream || again.model != "m" || again.prompt != q.prompt {
			t.Fatalf("the engine body of %q is %q, which decodes to another request: %v", body, once, err)
		}
		if twice := again.engineBody("m"); string(twice) != string(once) {
			t.Fatalf("the engine body %q changes to %q when it is encoded again", once, twice)
		}
	})
}
