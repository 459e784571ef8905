package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// A streamSink writes server-sent events to a caller.
type streamSink struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	buf   bytes.Buffer
	begun bool // the status line is sent
}

var _ attempt.Sink = (*streamSink)(nil)

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, rc: http.NewResponseController(w)}
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
	s.data(t.Data)
	return s.flush()
}

// done ends a whole answer.
func (s *streamSink) done() {
	s.buf.WriteString("data: " + wire.Done + "\n\n")
	_ = s.flush() // the caller notices a lost end
}

// fail ends an answer that is not whole.
func (s *streamSink) fail(p *problem) {
	s.buf.WriteString("event: " + wire.EventError)
	s.data(encode(p.body()))
	_ = s.flush() // the caller notices a lost end
}

// data adds a data field of one line and ends the event.
func (s *streamSink) data(data []byte) {
	s.buf.WriteString("\ndata: ")
	if bytes.ContainsAny(data, "\r\n") {
		_ = json.Compact(&s.buf, data) // the engine client checked that it is JSON
	} else {
		s.buf.Write(data)
	}
	s.buf.WriteString("\n\n")
}

func (s *streamSink) flush() error {
	if !s.begun {
		s.begin()
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // test servers have none
	defer s.buf.Reset()
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (s *streamSink) begin() {
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}
