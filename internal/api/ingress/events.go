package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const eventBufferBytes = 2 << 10 // bytes; an event has some hundred

// An eventReader reads whole server-sent events as they were written.
type eventReader struct {
	reader      *bufio.Reader
	skipThrough uint64 // events up to this id are left out; 0 for none
	lastID      string // id of the last event returned
	event       bytes.Buffer
	id          string
}

// newEventReader returns a reader that leaves out events up to the given id.
func newEventReader(r io.Reader, last string) *eventReader {
	after, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		after = 0 // ids that are no numbers can't be compared; the engine continues after the id by itself
	}
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), skipThrough: after, lastID: last}
}

// next returns the next event with its blank line. At a clean end it returns what is left with io.EOF; a partial event
// before any other error is dropped.
func (e *eventReader) next() ([]byte, error) {
	e.event.Reset()
	e.id = ""
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return e.event.Bytes(), err
		}
		if err != nil {
			return nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) > 0 {
			if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
				e.id = string(bytes.TrimSpace(id))
			}
			continue
		}
		if !e.delivered() {
			if e.id != "" {
				e.lastID = e.id
			}
			return e.event.Bytes(), nil
		}
		e.event.Reset()
		e.id = ""
	}
}

// seen reports whether the event was delivered by an earlier engine.
func (e *eventReader) delivered() bool {
	n, err := strconv.ParseUint(e.id, 10, 64)
	return err == nil && e.skipThrough > 0 && n <= e.skipThrough
}
