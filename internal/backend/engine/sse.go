package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// errUnterminatedStream means that the HTTP response ended regularly but without the wire.DoneData event.
var errUnterminatedStream = errors.New("the response ended without " + wire.DoneData)

// errEventTooLarge means that an event exceeds wire.MaxEventBytes.
var errEventTooLarge = errors.New("event too large")

const (
	// readBytes is how many bytes a byte of an event takes: in its line and in what is sent to the caller, which grow, and in its data.
	readBytes = 5

	// freeEventBytes of an event take no room in the memory for answers.
	freeEventBytes = 8 << 10
)

// An event is a server-sent event with its id, event and data fields.
type event struct {
	id   string
	name string
	data []byte
}

// An eventReader parses server-sent events; it drops an event that is cut off by the end of the response.
type eventReader struct {
	r     *bufio.Reader
	room  *inbound.Room
	taken int64 // of the room, by the current event
}

func newEventReader(r io.Reader, room *inbound.Room) *eventReader {
	return &eventReader{r: bufio.NewReader(r), room: room}
}

// take takes the room for an event of the given size.
func (e *eventReader) take(size int) error {
	if size > wire.MaxEventBytes {
		return errEventTooLarge
	}
	need := int64(readBytes * size)
	if size <= freeEventBytes || need <= e.taken {
		return nil
	}
	need = min(max(need, 2*e.taken), readBytes*wire.MaxEventBytes)
	if !e.room.Grow(need - e.taken) {
		return errNoRoom
	}
	e.taken = need
	return nil
}

func (e *eventReader) giveBack() {
	e.room.Shrink(e.taken)
	e.taken = 0
}

// next returns the next event that has a data field.
func (e *eventReader) next() (event, error) {
	var ev event
	size := 0
	e.giveBack() // the last event's
	for {
		line, err := e.line(size)
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if err := e.take(size); err != nil {
			return event{}, err
		}
		if len(line) == 0 && ev.data != nil {
			return ev, nil
		}
		if len(line) == 0 {
			ev, size = event{}, 0
			e.giveBack()
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

// line returns the next line of an event of which the given number of bytes were read, without its line terminator; the slice is valid
// until the next call.
func (e *eventReader) line(read int) ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.longLine(line, read)
	}
	if errors.Is(err, io.EOF) {
		return nil, errUnterminatedStream
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *eventReader) longLine(start []byte, read int) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		if err := e.take(read + len(line)); err != nil {
			return nil, err
		}
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
