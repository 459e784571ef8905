package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/backend/service"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

var portalAnswers = responsetest.Template{Body: "from the portal"}

// newPortal returns the handler of an entry VM whose service portal has one instance, which the dial function connects to.
func newPortal(t *testing.T, dial service.DialFunc) http.Handler {
	t.Helper()
	state := deck.State{}.WithTicket(deck.Ticket{
		BackendServers: []deck.BackendServer{{Name: "s1", Kind: deck.ServiceBackend, Address: "s1:80", DataCentre: "here"}},
		Services: []deck.Service{{
			Name: "portal", Prefix: "/portal", Backends: []deck.BackendName{"s1"},
			Routes: []deck.ServiceRoute{{Path: "/", Repeatable: true}, {Path: "/bookings"}},
		}},
	}, 1)
	return &Handler{
		State: decktest.StateSource{Current: state}, Poison: &decktest.PoisonStore{}, Services: service.New(dial),
		Idempotency: &decktest.IdempotencyStore{}, Clock: deck.SystemClock{}, DataCentre: "here",
		MaxBodyBytes: 2 * responsetest.UploadBytes,
	}
}

// outcome returns the status and the error code or body of a call that may run once; the status is 0 if the connection was broken.
func outcome(h http.Handler, body string) (got string) {
	defer func() {
		if recover() != nil { // http.ErrAbortHandler, or a status that net/http can't send
			got = "0 broken"
		}
	}()
	return statusAndText(book(h, "k", body).Result())
}

// dialTo returns a dial function for connections to the server.
func dialTo(s *responsetest.Server) service.DialFunc {
	return responsetest.DialWriteFirst(s.Address, 1<<30)
}

// testUnusableOfInstance checks that none of the answers of a plain service reaches a caller, and that the call isn't taken for one that has
// been answered when it is sent again.
func testUnusableOfInstance(t *testing.T, unusable []responsetest.Response) {
	for _, a := range unusable {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewServer(t, a.Send)
			h := newPortal(t, dialTo(s))
			is.Equal(outcome(h, "forklift"), "502 outcome-unknown")
			is.Equal(outcome(h, "forklift"), "409 outcome-unknown")
			is.Equal(s.Requests(), 1)
		})
	}
}

// TestMalformedAnswerOfInstance guards against an answer that breaks the protocol, such as one with the status 000 or with a blank in the name
// of a field, and that reaches its caller or is recorded for the idempotency key.
func TestMalformedAnswerOfInstance(t *testing.T) {
	testUnusableOfInstance(t, portalAnswers.Malformed())
}

// TestIncompleteAnswerOfInstance guards against an answer that was cut short and is recorded as the outcome of a call.
func TestIncompleteAnswerOfInstance(t *testing.T) {
	testUnusableOfInstance(t, portalAnswers.Incomplete())
}

// TestSoundAnswerOfInstance guards against sound answers that are turned away as malformed.
func TestSoundAnswerOfInstance(t *testing.T) {
	for _, a := range portalAnswers.Sound() {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewServer(t, a.Send)
			is.Equal(outcome(newPortal(t, dialTo(s)), "forklift"), "200 from the portal")
		})
	}
}

// TestAnswerOfInstanceThatIsResetDuringTheUpload guards against a part of an answer without a length that is relayed and recorded as whole
// because a write learns that the connection was reset.
func TestAnswerOfInstanceThatIsResetDuringTheUpload(t *testing.T) {
	is := is.New(t)
	answer := portalAnswers.Unframed()
	s := responsetest.NewUnreadServer(t, answer.SendAndReset)
	h := newPortal(t, responsetest.DialWriteFirst(s.Address, len(answer.Text)))
	is.Equal(outcome(h, strings.Repeat("x", responsetest.UploadBytes)), "502 outcome-unknown")
}

// TestEarlyAnswerOfInstance guards against an early answer, such as a refusal of a large body, that does not reach its caller because the
// rest of its request can't be written any more.
func TestEarlyAnswerOfInstance(t *testing.T) {
	for _, tc := range responsetest.EarlyAnswers("") {
		t.Run(tc.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewUnreadServer(t, tc.Send)
			h := newPortal(t, responsetest.DialWriteFirst(s.Address, len(tc.Text)))
			w := book(h, "k", strings.Repeat("x", responsetest.UploadBytes))
			is.Equal(w.Code, tc.Status)
			is.Equal(w.Body.String(), tc.Body)
		})
	}
}

const brokenToken = `{"id":"c","choices":[{"index":0,"delta":{"content":"from a broken engine"}}]}`

// newInference returns the handler of an entry VM whose first engine the dial function connects to; the second one is sound.
func newInference(t *testing.T, dial engine.DialFunc) (http.Handler, *decktest.PoisonStore) {
	t.Helper()
	sound := httptest.NewServer(&fakeEngine{})
	t.Cleanup(sound.Close)
	clients := map[deck.BackendName]deck.Engine{
		"e1": engine.New("e1:80", deck.SystemClock{}, dial),
		"e2": engine.New(strings.TrimPrefix(sound.URL, "http://"), deck.SystemClock{}, nil),
	}
	poison := &decktest.PoisonStore{}
	return &Handler{
		Router: &decktest.Router{Servers: []deck.BackendServer{{Name: "e1"}, {Name: "e2"}}},
		Engine: func(b deck.BackendServer) deck.Engine { return clients[b.Name] }, State: decktest.StateSource{Current: testState},
		Poison: poison, Clock: deck.SystemClock{}, VM: "vm1", DataCentre: "here", MaxBodyBytes: 2 * responsetest.UploadBytes,
	}, poison
}

func complete(h http.Handler, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(body)))
	return w
}

// TestMalformedStreamOfEngine guards against tokens from an answer that breaks the protocol, such as one with a blank in the name of a field,
// and against such an answer being taken for a crash. A trailer changes nothing: a stream is whole with its last event.
func TestMalformedStreamOfEngine(t *testing.T) {
	streams := responsetest.Template{
		Fields: "Boot-ID: b1\r\nContent-Type: text/event-stream\r\n", Body: "id: 0\ndata: " + brokenToken + "\n\ndata: [DONE]\n\n",
	}
	for _, a := range append(streams.MalformedStatusLines(), streams.MalformedFields()...) {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewServer(t, a.Send)
			h, poison := newInference(t, engine.DialFunc(dialTo(s)))
			w := complete(h, streamBody)
			is.Equal(w.Code, http.StatusOK)
			is.Equal(withoutComments(w.Body.String()), completeStream())
			is.True(s.Requests() > 0)
			is.Equal(len(poison.CrashReports()), 0)
		})
	}
}

// TestEarlyRefusalOfEngine guards against an early refusal of a long prompt that does not reach its caller, or that is taken for a crash,
// because the rest of the request can't be written any more.
func TestEarlyRefusalOfEngine(t *testing.T) {
	for _, tc := range responsetest.EarlyAnswers("Boot-ID: b1\r\n") {
		if tc.Status == http.StatusOK {
			continue // engines answer with streams only
		}
		t.Run(tc.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewUnreadServer(t, tc.Send)
			h, poison := newInference(t, engine.DialFunc(responsetest.DialWriteFirst(s.Address, len(tc.Text))))
			w := complete(h, strings.Replace(streamBody, "hi", strings.Repeat("x", responsetest.UploadBytes), 1))
			is.Equal(w.Code, tc.Status)
			is.Equal(len(poison.CrashReports()), 0)
		})
	}
}

// TestCutRefusalOfEngine guards against the text of an engine's refusal that was cut short and reaches the caller as the whole.
func TestCutRefusalOfEngine(t *testing.T) {
	is := is.New(t)
	const text = `{"error":{"message":"the prompt is too long","type":"invalid_request_error"}}`
	cut := responsetest.Response{Text: "HTTP/1.1 413 Content Too Large\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text[:40]}
	h, _ := newInference(t, engine.DialFunc(dialTo(responsetest.NewServer(t, cut.Send))))
	w := complete(h, streamBody)
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	is.True(json.Valid(w.Body.Bytes())) // of this VM
}
