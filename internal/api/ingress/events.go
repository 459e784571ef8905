package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
)

const (
	eventBufferBytes = 2 << 10   // an event has a few hundred bytes
	maxEventBytes    = 256 << 10 // a stream with a longer event, or one without end, counts as broken
	freeEventBytes   = 8 << 10   // of an event take no room in the memory for answers
)

var (
	errEventTooLarge = errors.New("event is too large")
	errNoRoom        = errors.New("no memory for the event beside other answers")
)

// An eventReader reads whole server-sent events and returns their bytes unchanged.
type eventReader struct {
	reader      *bufio.Reader
	skipThrough uint64 // events up to and including this id are skipped; 0 for none
	lastID      string // of the last event returned
	room        *inbound.Hold
	event       []byte
	id          string
	fields      bool // the block that next returned has a field, or a part of one, so it is an event
	hasEvents   bool // a whole event was read, delivered by an earlier engine or not
}

// newEventReader returns a reader that skips events up to and including the given id. Long events take room; nil is for no bound.
func newEventReader(r io.Reader, lastID string, room *inbound.Hold) *eventReader {
	skipThrough, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		skipThrough = 0 // ids that are not numbers can't be compared; the engine itself continues after the id
	}
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), skipThrough: skipThrough, lastID: lastID, room: room}
}

// next returns the next event with its blank line, or a block of comments and blank lines, which fields reports as no event. At the
// end of the stream it returns the remaining bytes with io.EOF; before any other error a partial event is dropped.
func (e *eventReader) next() ([]byte, error) {
	e.reset()
	for {
		line, err := e.reader.ReadSlice('\n')
		if aerr := e.add(line); aerr != nil {
			return nil, aerr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if errors.Is(err, io.EOF) {
			e.fields = e.fields || len(text) > 0 && text[0] != ':'
			return e.event, err
		}
		if err != nil {
			return nil, err
		}
		if len(text) > 0 {
			if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
				e.id = string(bytes.TrimSpace(id))
			}
			e.fields = e.fields || text[0] != ':'
			continue
		}
		e.hasEvents = e.hasEvents || e.fields
		if !e.delivered() {
			if e.id != "" {
				e.lastID = e.id
			}
			return e.event, nil
		}
		e.reset()
	}
}

// reset begins another event. It gives the room of a long one back.
func (e *eventReader) reset() {
	if cap(e.event) > freeEventBytes {
		e.room.Shrink(int64(cap(e.event)))
		e.event = nil
	}
	e.event = e.event[:0]
	e.id, e.fields = "", false
}

// add appends bytes to the event.
func (e *eventReader) add(line []byte) error {
	size := len(e.event) + len(line)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(e.event) {
		size = min(max(size, 2*cap(e.event), eventBufferBytes), maxEventBytes)
		if size > freeEventBytes && !e.room.Grow(int64(size)) {
			return errNoRoom
		}
		if cap(e.event) > freeEventBytes {
			e.room.Shrink(int64(cap(e.event)))
		}
		e.event = append(make([]byte, 0, size), e.event...)
	}
	e.event = append(e.event, line...)
	return nil
}

// delivered reports whether an earlier engine has delivered the event.
func (e *eventReader) delivered() bool {
	n, err := strconv.ParseUint(e.id, 10, 64)
	return err == nil && e.skipThrough > 0 && n <= e.skipThrough
}
