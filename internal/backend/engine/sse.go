package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// errNoMoreEvents means that the response ended as its framing says, but without the end of the answer.
var errNoMoreEvents = errors.New("the response ended without " + wire.Done)

// errEventSize means that an event exceeds the bound.
var errEventSize = errors.New("event too large")

// An event is a server-sent event.
type event struct {
	id   string
	name string
	data []byte
}

// An events reader parses server-sent events; an event cut off by the end of the response is dropped.
type events struct {
	r *bufio.Reader
}

func newEvents(r io.Reader) *events {
	return &events{r: bufio.NewReader(r)}
}

// next returns the next event that has data.
func (e *events) next() (event, error) {
	var ev event
	size := 0
	for {
		line, err := e.line()
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if size > wire.MaxEventBytes {
			return event{}, errEventSize
		}
		if len(line) == 0 && ev.data != nil {
			return ev, nil
		}
		if len(line) == 0 {
			ev, size = event{}, 0
			continue
		}
		ev.field(line)
	}
}

// field adds a line to the event; comments and unknown fields have no effect.
func (ev *event) field(line []byte) {
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
func (e *events) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.longLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, errNoMoreEvents
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *events) longLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= wire.MaxEventBytes {
		part, err := e.r.ReadSlice('\n')
		long = append(long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
	return nil, errEventSize
}
