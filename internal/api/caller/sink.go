package caller

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// A streamSink writes an answer to the caller as server-sent events.
type streamSink struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	buf          bytes.Buffer
	headerSent   bool   // the status line and headers were written
	includeUsage bool   // the caller asked for a last chunk with the token usage
	usageChunk   []byte // that chunk; nil until an engine reports the usage
}

var _ attempt.Sink = (*streamSink)(nil)

func newStreamSink(w http.ResponseWriter, includeUsage bool) *streamSink {
	return &streamSink{w: w, rc: http.NewResponseController(w), includeUsage: includeUsage}
}

// Heartbeat implements attempt.Sink.Heartbeat.
func (s *streamSink) Heartbeat() error {
	s.buf.WriteString(": running\n\n")
	return s.flush()
}

// Token implements attempt.Sink.Token.
func (s *streamSink) Token(t deck.Token) error {
	s.buf.WriteString("id: ")
	s.buf.WriteString(strconv.Itoa(t.Offset))
	s.writeData(s.extractUsage(t.Data))
	return s.flush()
}

// extractUsage returns the chunk without its token usage, which it keeps for the end of the stream.
func (s *streamSink) extractUsage(data []byte) []byte {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return data
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields["usage"] == nil {
		return data // the match is in the answer's text
	}
	if string(fields["usage"]) != "null" {
		usageChunk := maps.Clone(fields)
		usageChunk["choices"] = []byte("[]")
		s.usageChunk = mustMarshal(usageChunk)
	}
	delete(fields, "usage")
	return mustMarshal(fields)
}

// complete ends a complete answer with the usage chunk, if the caller asked for it, and the end event.
func (s *streamSink) complete() {
	if s.includeUsage && s.usageChunk != nil {
		s.buf.WriteString("data: ")
		s.buf.Write(s.usageChunk)
		s.buf.WriteString("\n\n")
	}
	s.buf.WriteString("data: " + wire.DoneData + "\n\n")
	_ = s.flush() // without the end event, the caller sees that the answer is incomplete
}

// fail ends an incomplete answer with an error event.
func (s *streamSink) fail(p *problem) {
	s.buf.WriteString("event: " + wire.EventError)
	s.writeData(mustMarshal(p.body()))
	_ = s.flush() // the answer lacks its end event in any case, so the caller sees that it is incomplete
}

// writeData appends a data field on a single line and ends the event.
func (s *streamSink) writeData(data []byte) {
	s.buf.WriteString("\ndata: ")
	if bytes.ContainsAny(data, "\r\n") {
		_ = json.Compact(&s.buf, data) // the engine client checked that it is JSON
	} else {
		s.buf.Write(data)
	}
	s.buf.WriteString("\n\n")
}

func (s *streamSink) flush() error {
	if !s.headerSent {
		s.sendHeader()
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by httptest.ResponseRecorder
	defer s.resetBuffer()
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.rc.Flush()
}

// maxKeptBytes is the capacity up to which the buffer is kept for the next token.
const maxKeptBytes = 16 << 10

func (s *streamSink) resetBuffer() {
	if s.buf.Cap() > maxKeptBytes {
		s.buf = bytes.Buffer{}
	}
	s.buf.Reset()
}

func (s *streamSink) sendHeader() {
	s.headerSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}
