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

// A streamSink writes server-sent events to a caller.
type streamSink struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	buf   bytes.Buffer
	begun bool   // the status line is sent
	usage bool   // the caller asked for a last chunk that tells the tokens used
	last  []byte // that chunk, once an engine has told it
}

var _ attempt.Sink = (*streamSink)(nil)

func newStreamSink(w http.ResponseWriter, usage bool) *streamSink {
	return &streamSink{w: w, rc: http.NewResponseController(w), usage: usage}
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
	s.data(s.takeUsage(t.Data))
	return s.flush()
}

// takeUsage keeps what a chunk tells of the tokens used for the end of the stream and returns the chunk without it.
func (s *streamSink) takeUsage(data []byte) []byte {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return data
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields["usage"] == nil {
		return data // the word stands in the answer's text
	}
	if string(fields["usage"]) != "null" {
		last := maps.Clone(fields)
		last["choices"] = []byte("[]")
		s.last = encode(last)
	}
	delete(fields, "usage")
	return encode(fields)
}

// done ends a whole answer.
func (s *streamSink) done() {
	if s.usage && s.last != nil {
		s.buf.WriteString("data: ")
		s.buf.Write(s.last)
		s.buf.WriteString("\n\n")
	}
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
