package ingress

import (
	"io"
	"net/http"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

const (
	firstAnswerBytes = 4 << 10  // read of any answer before its head is relayed
	copyBufferBytes  = 32 << 10 // between a large answer and its caller

	// unreadAnswerTimeout is how long after the deadline of its call the rest of an answer may still be taken.
	unreadAnswerTimeout = 30 * time.Second
)

// limitAnswer bounds the time for which a caller with the deadline may leave an answer unread.
func limitAnswer(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(unreadAnswerTimeout)) // tests' recorders don't support it
}

// readAhead reads an answer up to its end, to maxBufferedBytes, or as far as the budget has room; err is io.EOF at its end.
func (c *callRun) readAhead(resp *http.Response) (data []byte, err error) {
	c.openAhead()
	data = make([]byte, 0, firstAnswerBytes)
	for len(data) < maxBufferedBytes {
		if len(data) == cap(data) {
			size := min(2*cap(data), maxBufferedBytes)
			if !c.ahead.Grow(int64(size)) {
				return data, nil
			}
			data = append(make([]byte, 0, size), data...)
			c.ahead.Shrink(int64(size / 2))
		}
		n, err := resp.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// openAhead returns the room that what is read of answers takes until the call ends.
func (c *callRun) openAhead() *inbound.Hold {
	if c.ahead == nil {
		c.ahead = c.h.Memory.Open(inbound.Answers, nil)
	}
	return c.ahead
}

// copyRest relays the rest of a large answer, of which the caller has what was read ahead.
func (c *callRun) copyRest(rest io.Reader) error {
	c.ahead.Release()
	size := firstAnswerBytes
	if c.ahead.Grow(copyBufferBytes) {
		size = copyBufferBytes
	}
	_, err := io.CopyBuffer(struct{ io.Writer }{c.w}, rest, make([]byte, size))
	return err
}

// beginCall counts a call as in progress and reports whether it may go on.
func (h *Handler) beginCall() bool {
	n := int(h.calls.Add(1))
	return h.MaxCalls == 0 || n <= h.MaxCalls || h.MakeRoom != nil && h.MakeRoom()
}
