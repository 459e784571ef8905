package inbound

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	firstBodyBytes = 16 << 10 // allocated before any byte of a body has arrived, at most

	// A body must arrive within bodyGrace, and the time that it takes at minBodyRate.
	bodyGrace   = 30 * time.Second
	minBodyRate = 32 << 10 // bytes a second
)

// Errors of ReadBody.
var (
	ErrNoRoom   = errors.New("too many bytes of requests at once")
	ErrSlowBody = errors.New("body did not arrive in time")
)

// ReadBody reads the body of a request, whose hold is to be released when the body is no longer used. Space is taken from the budget as
// bytes arrive. A body over the limit is an *http.MaxBytesError; after that, ErrNoRoom and ErrSlowBody an answer must close the
// connection, and nothing more is read from it.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Hold, error) {
	c := connOf(r)
	if c != nil && c.closed.Load() {
		return nil, nil, ErrNoRoom // the client takes the request for one that has not been read
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	rc := http.NewResponseController(w)
	past := time.Unix(1, 0)
	stop := func() { _ = rc.SetReadDeadline(past) } // not supported by httptest.ResponseRecorder
	if r.ContentLength > limit {
		stop()
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	h := b.Open(Bodies, stop)
	end := c.readsBody(h)
	defer end()
	read := bodyReader{body: r.Body, hold: h, limit: limit, announced: r.ContentLength, start: time.Now(), deadline: rc.SetReadDeadline}
	data, err := read.all()
	if !h.Finish() {
		err = ErrNoRoom // whatever its end has led to
	}
	if err != nil {
		h.Release()
		stop()
		return nil, nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	return data, h, nil
}

// A bodyReader reads a body into a buffer that grows as bytes arrive.
type bodyReader struct {
	body      io.Reader
	hold      *Hold
	limit     int64
	announced int64 // bytes; negative if not known
	start     time.Time
	deadline  func(time.Time) error
}

func (r *bodyReader) all() ([]byte, error) {
	largest := r.announced
	if largest < 0 {
		largest = r.limit + 1 // one more byte shows that the body is too large
	}
	var buf []byte
	for int64(len(buf)) < largest {
		if len(buf) == cap(buf) {
			var ok bool
			if buf, ok = r.grow(buf, min(largest, max(firstBodyBytes, 2*int64(cap(buf))))); !ok {
				return nil, ErrNoRoom
			}
		}
		n, err := r.body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			if int64(len(buf)) < r.announced {
				return nil, io.ErrUnexpectedEOF
			}
			return r.checked(buf)
		case isTimeout(err):
			return nil, ErrSlowBody
		case err != nil:
			return nil, err
		}
	}
	return r.checked(buf)
}

func (r *bodyReader) checked(buf []byte) ([]byte, error) {
	if int64(len(buf)) > r.limit {
		return nil, &http.MaxBytesError{Limit: r.limit}
	}
	return buf, nil
}

// grow moves the bytes to a buffer of the given size, and sets the time in which it must be filled.
func (r *bodyReader) grow(buf []byte, size int64) ([]byte, bool) {
	_ = r.deadline(r.start.Add(bodyGrace + time.Duration(size)*time.Second/minBodyRate))
	if !r.hold.Grow(size) {
		return buf, false
	}
	out := make([]byte, len(buf), size)
	copy(out, buf)
	r.hold.Shrink(int64(cap(buf)))
	return out, true
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// Buffer returns a handler that reads the bodies of requests within the budget before it passes the requests on.
func (b *Budget) Buffer(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, hold, err := b.ReadBody(w, r, limit)
		defer hold.Release()
		if err == nil && !hold.Grow(int64(len(body))) { // the handlers copy it
			err = ErrNoRoom
		}
		if err != nil {
			refuseBody(w, err)
			return
		}
		if body != nil {
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

// RetryAfter is the time after which a request that found no room may be sent again.
const RetryAfter = time.Second

func refuseBody(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrNoRoom):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, ErrSlowBody):
		http.Error(w, err.Error(), http.StatusRequestTimeout)
	default:
		panic(http.ErrAbortHandler) // the connection is broken, so no answer can be sent
	}
}
