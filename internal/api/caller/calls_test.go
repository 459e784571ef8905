package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/service"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A fakeService counts the runs of each idempotency key. Its faults lose an answer or refuse a call before it runs.
type fakeService struct {
	fault func() string // "" to answer, "lost" to run the call and lose the answer, "refused" to refuse the call
	onRun func(key string)
	runs  map[string]int
}

func (s *fakeService) Call(_ context.Context, _ string, call deck.ServiceCall) deck.ServiceAnswer {
	fault := s.fault()
	if fault == "refused" {
		return deck.ServiceAnswer{Outcome: deck.OutcomeNotRun, Reason: "refused"}
	}
	s.runs[call.IdempotencyKey]++
	s.onRun(call.IdempotencyKey)
	if fault == "lost" {
		return deck.ServiceAnswer{Reason: "reset"}
	}
	return deck.ServiceAnswer{
		Outcome: deck.OutcomeDone, Status: http.StatusCreated, Body: []byte("booked " + call.IdempotencyKey),
	}
}

func (s *fakeService) HasEnded(context.Context, string) bool { return false }

func book(h http.Handler, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/portal/bookings", strings.NewReader(body))
	r.Header.Set("Idempotency-Key", key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestCallFuzz guards against a call that runs twice, a false "not run" and an answer to another call, when messages between
// two VMs, the store and the service are lost or a caller sends a call again while it runs.
func TestCallFuzz(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		s := &fakeService{runs: make(map[string]int)}
		s.fault = func() string { return rapid.SampledFrom([]string{"", "lost", "refused"}).Draw(t, "service") }
		fails := func(string) bool { return rapid.IntRange(0, 3).Draw(t, "store") == 0 }
		store := &decktest.IdempotencyStore{FailBegin: fails, FailFinish: fails}
		var vms []*Handler
		for range 2 {
			vms = append(vms, &Handler{
				State: decktest.StateSource{Current: testState}, Poison: &decktest.PoisonStore{}, Services: s, Idempotency: store, Clock: deck.SystemClock{},
			})
		}
		nested, owner := false, make(map[string]string)
		send := func(key, body string) {
			before := s.runs[key]
			w := book(vms[rapid.IntRange(0, 1).Draw(t, "vm")], key, body)
			if s.runs[key] > before {
				owner[key] = body
			}
			if w.Code < http.StatusBadRequest && owner[key] != body {
				t.Fatalf("%s: the answer to %q went to %q", key, owner[key], body)
			}
			if w.Code == http.StatusCreated && (w.Body.String() != "booked "+key || s.runs[key] != 1) {
				t.Fatalf("%s: answer %q after %d runs", key, w.Body, s.runs[key])
			}
			if w.Header().Get("Not-Run") == "true" && s.runs[key] != before {
				t.Fatalf("%s: ran although the answer says not run", key)
			}
			if s.runs[key] > 1 {
				t.Fatalf("%s ran %d times", key, s.runs[key])
			}
		}
		s.onRun = func(key string) { // a second send arrives while the first is in progress
			if !nested {
				nested = true
				send(key, "body")
				nested = false
			}
		}
		keys := rapid.SampledFrom([]string{"k1", "k2", "k3"})
		t.Repeat(map[string]func(*rapid.T){
			"send":   func(t *rapid.T) { send(keys.Draw(t, "key"), "body") },
			"change": func(t *rapid.T) { send(keys.Draw(t, "key"), "another body") },
			"expire": func(*rapid.T) { store.ExpireInProgress() },
		})
	})
}

// TestCallAnswers guards against a wrong response, or a call sent again, after each kind of failure of an instance or the store.
// The same key is used at two VMs.
func TestCallAnswers(t *testing.T) {
	lost := func(w http.ResponseWriter) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
	}
	refused := func(w http.ResponseWriter) {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	done := func(w http.ResponseWriter) { fmt.Fprint(w, "booked") }
	for _, tc := range []struct {
		name        string
		s1, s2      func(http.ResponseWriter) // nil for an instance that does not listen
		beginFails  bool                      // the store is unavailable before the call
		finishFails bool                      // the store is unavailable after the call
		first       string                    // the response at the first VM
		second      string                    // the response at the second VM
		arrivals    int32
	}{
		{"done", done, done, false, false, "200 booked", "200 booked", 1},
		{"first instance down", nil, done, false, false, "200 booked", "200 booked", 1},
		{"first instance refuses", refused, done, false, false, "200 booked", "200 booked", 2},
		{"answer lost", lost, done, false, false, "502 outcome-unknown", "409 outcome-unknown", 1},
		{"both down", nil, nil, false, false, "503 not-run", "503 not-run", 0},
		{"no claim", done, done, true, false, "503 claim-unavailable", "503 claim-unavailable", 0},
		{"no record", done, done, false, true, "200 booked", "409 in-progress", 1},
		{"no release", refused, refused, false, true, "503 not-run", "409 in-progress", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				var arrivals atomic.Int32
				for name, respond := range map[string]func(http.ResponseWriter){"s1": tc.s1, "s2": tc.s2} {
					if respond != nil {
						f.serve(name, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
							arrivals.Add(1)
							respond(w)
						})})
					}
				}
				client := service.New(f.net.Dial)
				store := &decktest.IdempotencyStore{
					FailBegin:  func(string) bool { return tc.beginFails },
					FailFinish: func(string) bool { return tc.finishFails },
				}
				var got []string
				for range 2 {
					h := &Handler{
						State: decktest.StateSource{Current: testState}, Poison: &decktest.PoisonStore{}, Services: client, Idempotency: store,
						Clock: deck.SystemClock{}, DataCentre: "here",
					}
					got = append(got, statusAndText(book(h, "k", "forklift").Result()))
				}
				is.Equal(got, []string{tc.first, tc.second})
				is.Equal(arrivals.Load(), tc.arrivals)
			})
		})
	}
}

// statusAndText returns the status of a response and its error code, or else its body.
func statusAndText(resp *http.Response) string {
	data, _ := io.ReadAll(resp.Body)
	text := string(data)
	if _, rest, ok := strings.Cut(text, `"code":"`); ok {
		text, _, _ = strings.Cut(rest, `"`)
	}
	return fmt.Sprint(resp.StatusCode, " ", text)
}

// TestRepeatableCall guards against a repeatable call that is not retried after the first instance fails, or that needs a key.
func TestRepeatableCall(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.serve("s2", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, r.URL.Path, "?", r.URL.RawQuery)
		})})
		f.handler.Services = service.New(f.net.Dial)
		a := f.send(t.Context(), http.MethodGet, "/portal/stands/4?day=2", "")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, "/stands/4?day=2")
	})
}

// TestRefusedCalls guards against a path that evades the rule of its route by a second spelling, and against an invalid
// idempotency key that is accepted.
func TestRefusedCalls(t *testing.T) {
	for _, tc := range []struct{ path, key, want string }{
		{"/portal/bookings", "", "400 idempotency_key_required"},
		{"/portal/bookings/9", "", "400 idempotency_key_required"},
		{"/portal/bookings/", strings.Repeat("k", 256), "400 idempotency_key_required"},
		{"/portal/bookings", "a b", "400 idempotency_key_required"},
		{"/portal/x/../bookings", "", "400 invalid_path"},
		{"/portal//bookings", "", "400 invalid_path"},
		{"/portal/x%2F../bookings", "", "400 invalid_path"},
		{"/portalx/bookings", "k", "404 not_found"},
		{"/", "k", "404 not_found"},
	} {
		h := &Handler{
			State: decktest.StateSource{Current: testState}, Poison: &decktest.PoisonStore{},
			Services: &fakeService{fault: func() string { return "" }, onRun: func(string) {}, runs: make(map[string]int)},
			Clock:    deck.SystemClock{},
		}
		r := httptest.NewRequest(http.MethodPost, tc.path, nil)
		r.Header.Set("Idempotency-Key", tc.key)
		w := httptest.NewRecorder()
		h.once.Do(h.init)
		h.serveCall(w, r) // called directly, since the mux redirects some of these paths
		if got := statusAndText(w.Result()); got != tc.want {
			t.Errorf("%s with key %q: got %s, want %s", tc.path, tc.key, got, tc.want)
		}
		is.New(t).Equal(w.Header().Get("Not-Run"), "true")
	}
}

// TestKeyBelongsToCaller guards against an answer that is replayed to another caller who sends the same idempotency key.
func TestKeyBelongsToCaller(t *testing.T) {
	is := is.New(t)
	none := func(string) {}
	h := &Handler{
		State: decktest.StateSource{Current: testState}, Poison: &decktest.PoisonStore{},
		Services:    &fakeService{fault: func() string { return "" }, onRun: none, runs: make(map[string]int)},
		Idempotency: &decktest.IdempotencyStore{},
		Clock:       deck.SystemClock{},
	}
	var got []int
	for _, token := range []string{"Bearer a", "Bearer b", "Bearer a"} {
		r := httptest.NewRequest(http.MethodPost, "/portal/bookings", strings.NewReader("forklift"))
		r.Header.Set("Idempotency-Key", "k")
		r.Header.Set("Authorization", token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		got = append(got, w.Code)
	}
	is.Equal(got, []int{http.StatusCreated, http.StatusUnprocessableEntity, http.StatusCreated})
}
