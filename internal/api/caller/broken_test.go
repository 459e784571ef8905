package caller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

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
	testUnusableOfInstance(t, append(portalAnswers.MalformedStatusLines(), portalAnswers.MalformedFields()...))
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
