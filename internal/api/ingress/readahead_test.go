package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

// Load pattern: callers that ask for large answers and never read them. What is read ahead is bounded, and no byte is lost for it.
func TestReadAheadIsBounded(t *testing.T) {
	is := is.New(t)
	b := &inbound.Budget{Bytes: 4 << 20}
	text := strings.Repeat("0123456789abcdef", maxBufferedBytes/8)
	for range 100 {
		c := &callRun{h: &Handler{Memory: b}, w: httptest.NewRecorder()}
		rest := strings.NewReader(text)
		data, err := c.readAhead(&http.Response{Body: http.NoBody})
		is.True(err != nil && len(data) == 0) // an empty answer ends
		data, err = c.readAhead(&http.Response{Body: readCloser{rest}})
		is.NoErr(err)
		is.True(len(data) <= maxBufferedBytes)
		is.True(b.Usage(inbound.Answers).Bytes <= 1<<20)
		is.Equal(string(data)+text[len(text)-rest.Len():], text)
	}
	c := &callRun{h: &Handler{Memory: b}, w: httptest.NewRecorder()}
	is.NoErr(c.copyRest(strings.NewReader(text)))
	is.Equal(c.w.(*httptest.ResponseRecorder).Body.Len(), len(text))
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// A deadlineRecorder records the last write deadline that is set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline implements what http.ResponseController looks for.
func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against callers that keep connections for good, since they never read their answers.
func TestUnreadAnswerEndsAfterItsTime(t *testing.T) {
	is := is.New(t)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	start := time.Now()
	(&Handler{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	is.True(!w.deadline.Before(start.Add(defaultTimeout + unreadAnswerTimeout)))
}

// Load pattern: more callers that never read their answers than a process may have connections to backend servers.
func TestCallsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	unread := 0
	h := &Handler{MaxCalls: 3, MakeRoom: func() bool {
		unread--
		return unread >= 0
	}}
	for range 3 {
		is.True(h.beginCall())
	}
	is.True(!h.beginCall())
	h.calls.Add(-1) // refused
	unread = 1
	is.True(h.beginCall())
	is.True(!h.beginCall())
}

// Guards against refusals for lack of memory that callers take for an answer that may have run, or on which they don't come back.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	for _, c := range []struct {
		err        error
		status     int
		retryAfter string
	}{
		{inbound.ErrNoRoom, http.StatusServiceUnavailable, "1.00"},
		{inbound.ErrSlowBody, http.StatusRequestTimeout, ""},
		{errors.WithStack(&http.MaxBytesError{Limit: 1}), http.StatusRequestEntityTooLarge, ""},
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		(&Handler{}).refuseUnreadBody(w, httptest.NewRequest(http.MethodPost, "/", nil), c.err)
		is.Equal(w.Code, c.status)
		is.Equal(w.Header().Get("Retry-After"), c.retryAfter)
		is.Equal(w.Header().Get("Connection"), "close")
	}
}
