package eventstream

import (
	"bytes"
	"net/http"
	"strings"
)

// ContentType is the media type of a stream of server-sent events.
const ContentType = "text/event-stream"

// IsStream reports whether the header announces a stream of server-sent events.
func IsStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), ContentType)
}

// EndsWithConnection reports whether the body of the response has neither a length nor chunks, so that its end can't be told from
// a lost connection.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// IsBrokenOff reports whether a response's whole body, as it was read, is a stream that ends within an event.
func IsBrokenOff(h http.Header, body []byte) bool {
	return IsStream(h) && EndsWithinEvent(body)
}

// EndsWithinEvent reports whether the text of a stream ends before the blank line that ends its last event.
func EndsWithinEvent(text []byte) bool {
	if len(text) == 0 {
		return false
	}
	rest, ended := bytes.CutSuffix(text, []byte("\n"))
	rest = bytes.TrimSuffix(rest, []byte("\r"))
	return !ended || len(rest) > 0 && rest[len(rest)-1] != '\n'
}
