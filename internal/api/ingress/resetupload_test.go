package ingress_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

// newUploadHarness returns a harness that takes uploads, and for which the given answer is all that a connection reads before a write has
// failed.
func newUploadHarness(t *testing.T, routes []deck.Route, answer responsetest.Response, backends ...*backend) *harness {
	t.Helper()
	h := newHarness(t, routes, backends...)
	h.handler.SetRoutes(table.New(&deck.RoutingConfig{
		Version: 2, Routes: routes, Services: []deck.RoutedService{{Name: "svc"}},
		Limits: deck.CallerLimits{MaxBodyBytes: 2 * responsetest.UploadBytes},
	}))
	h.handler.Client.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		return responsetest.DialWriteFirst(addr, len(answer.Text))(ctx, "tcp", "")
	}
	return h
}

func (h *harness) upload(t *testing.T) result {
	t.Helper()
	return h.call(t, http.MethodPost, "/p/x", strings.Repeat("x", responsetest.UploadBytes))
}

// patient makes no call slow enough to be sent again.
func patient(routes []deck.Route) []deck.Route {
	routes[0].LatencyTarget = 5 * time.Second
	return routes
}

// Guards against an answer without a length that is reset while its request is still being written, and that reaches the caller as
// complete: the system reports a reset once, and here a write learns of it, so that the answer seems to end with its connection.
func TestAnswerThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	for _, tc := range []struct {
		name         string
		routes       []deck.Route
		fields, body string
	}{
		{"buffered", once(), unframed, "part"},
		{"large", once(), unframed, strings.Repeat("y", 600<<10)},
		{"without a body", once(), unframed, ""},
		{"stream", stream(false), eventStream + unframed, events(1, 2)},
		{"without a word on its end", once(), "", "part"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			answer := responsetest.Template{Fields: answers.Fields + tc.fields, Body: tc.body}.Unframed()
			s := responsetest.NewUnreadServer(t, answer.SendAndReset)
			res := newUploadHarness(t, patient(tc.routes), answer, standIn("b1", s)).upload(t)
			is.True(res.err != nil || res.status == http.StatusBadGateway) // broken off, or a failure
		})
	}
}

// Guards against a call that may be repeated and fails although another server would have answered it.
func TestRepeatableCallWhoseAnswerIsResetDuringTheUploadIsSentAgain(t *testing.T) {
	is := is.New(t)
	first := responsetest.NewUnreadServer(t, answers.Unframed().SendAndReset)
	second := newBackend(t, "b2", answerWith("whole"))
	res := newUploadHarness(t, patient(idempotent()), answers.Unframed(), standIn("b1", first), second).upload(t)
	is.NoErr(res.err)
	is.Equal(res.status, http.StatusOK)
	is.Equal(res.body, "whole")
}

// Guards against an early answer, such as a refusal of a large body, that does not reach its caller because the rest of its request can't
// be written any more.
func TestEarlyAnswerReachesTheCaller(t *testing.T) {
	for _, tc := range responsetest.EarlyAnswers(answers.Fields) {
		t.Run(tc.Name, func(t *testing.T) {
			is := is.New(t)
			s := responsetest.NewUnreadServer(t, tc.Send)
			res := newUploadHarness(t, patient(once()), tc.Response, standIn("b1", s)).upload(t)
			is.NoErr(res.err)
			is.Equal(res.status, tc.Status)
			is.Equal(res.body, tc.Body)
		})
	}
}
