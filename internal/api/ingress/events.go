package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventBufferBytes = 2 << 10   // an event has a few hundred bytes
	maxEventBytes    = 256 << 10 // a stream with a longer event, or one without end, counts as broken
)

var errEventTooLarge = errors.New("event is too large")

// An eventReader reads whole server-sent events and returns their bytes unchanged.
type eventReader struct {
	reader      *bufio.Reader
	skipThrough uint64 // events up to and including this id are skipped; 0 for none
	lastID      string // of the last event returned
	event       bytes.Buffer
	id          string
	fields      bool // the block that next returned has a field, or a part of one, so it is an event
	hasEvents   bool // a whole event was read, delivered by an earlier engine or not
}

// newEventReader returns a reader that skips events up to and including the given id.
func newEventReader(r io.Reader, lastID string) *eventReader {
	skipThrough, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		skipThrough = 0 // ids that are not numbers can't be compared; the engine itself continues after the id
	}
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), skipThrough: skipThrough, lastID: lastID}
}

// next returns the next event with its blank line, or a block of comments and blank lines, which fields reports as no event. At the
// end of the stream it returns the remaining bytes with io.EOF; before any other error a partial event is dropped.
func (e *eventReader) next() ([]byte, error) {
	e.event.Reset()
	e.id, e.fields = "", false
	for {
		line, err := e.reader.ReadSlice('\n')
		if e.event.Len()+len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		e.event.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if errors.Is(err, io.EOF) {
			e.fields = e.fields || len(text) > 0 && text[0] != ':'
			return e.event.Bytes(), err
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
			return e.event.Bytes(), nil
		}
		e.event.Reset()
		e.id, e.fields = "", false
	}
}

// delivered reports whether an earlier engine has delivered the event.
func (e *eventReader) delivered() bool {
	n, err := strconv.ParseUint(e.id, 10, 64)
	return err == nil && e.skipThrough > 0 && n <= e.skipThrough
}
