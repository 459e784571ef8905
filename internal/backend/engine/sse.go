package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// errUnterminatedStream means that the response ended as its framing says, but without the end of the answer.
var errUnterminatedStream = errors.New("the response ended without " + wire.Done)

// errEventTooLarge means that an event exceeds the bound.
var errEventTooLarge = errors.New("event too large")

// An event is a server-sent event.
type event struct {
	id   string
	name string
	data []byte
}

// An eventReader reader parses server-sent eventReader; an event cut off by the end of the response is dropped.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the next event that has data.
func (e *eventReader) next() (event, error) {
	var ev event
	size := 0
	for {
		line, err := e.line()
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if size > wire.MaxEventBytes {
			return event{}, errEventTooLarge
		}
		if len(line) == 0 && ev.data != nil {
			return ev, nil
		}
		if len(line) == 0 {
			ev, size = event{}, 0
			continue
		}
		ev.addLine(line)
	}
}

// addLine adds a line to the event; comments and unknown fields have no effect.
func (ev *event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "event":
		ev.name = string(value)
	case "data":
		if ev.data != nil {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		if ev.data == nil {
			ev.data = []byte{}
		}
	}
}

// line returns the next line without its end; it is valid until the next call.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.longLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, errUnterminatedStream
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *eventReader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= wire.MaxEventBytes {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errEventTooLarge
}
