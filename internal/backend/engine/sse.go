package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// errUnterminatedStream means that the HTTP response ended regularly but without the wire.DoneData event.
var errUnterminatedStream = errors.New("the response ended without " + wire.DoneData)

// errEventTooLarge means that an event exceeds wire.MaxEventBytes.
var errEventTooLarge = errors.New("event too large")

// An event is a server-sent event with its id, event and data fields.
type event struct {
	id   string
	name string
	data []byte
}

// An eventReader parses server-sent events; it drops an event that is cut off by the end of the response.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the next event that has a data field.
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

// addLine parses a line into a field of the event; comments and unknown fields are ignored.
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

// line returns the next line without its line terminator; the slice is valid until the next call.
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
