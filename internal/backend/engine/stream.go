package engine

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/engine"
)

// Limits of draining a finished response; its connection can only be reused after the body has been read to the end.
const (
	drainTimeout  = 250 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// A stream is a token stream that an engine is sending.
type stream struct {
	client      *Client
	ctx         context.Context // the context passed to Generate
	streamCtx   context.Context // cancelled with errStalled by the stall timer
	cancel      context.CancelCauseFunc
	body        *stallTimedBody
	eventReader *eventReader
	bootID      string
	software    deck.SoftwareVersion
	unframed    bool // the response ends with its connection
	nextOffset  int  // expected offset of the next token
	gap         bool // a token was left out, so that later ones wait for it
	done        bool
}

var (
	_ deck.TokenStream        = (*stream)(nil)
	_ deck.BootIdentified     = (*stream)(nil)
	_ deck.SoftwareIdentified = (*stream)(nil)
)

// BootID implements deck.BootIdentified.BootID.
func (s *stream) BootID() string {
	return s.bootID
}

// Software implements deck.SoftwareIdentified.Software.
func (s *stream) Software() deck.SoftwareVersion {
	return s.software
}

// Close implements deck.TokenStream.Close.
func (s *stream) Close() error {
	if s.done {
		s.body.timeout = drainTimeout
		_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
	}
	s.cancel(nil)
	return s.body.body.Close()
}

// Next implements deck.TokenStream.Next. Its error is io.EOF, a *deck.EngineError or the context's error.
func (s *stream) Next(ctx context.Context) (deck.Token, error) {
	if s.done {
		return deck.Token{}, io.EOF
	}
	if ctx != s.ctx {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	ev, err := s.eventReader.next()
	if err != nil {
		return deck.Token{}, s.readError(err)
	}
	t, err := s.parseToken(ev)
	if err != nil {
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineFailed, BootID: s.bootID, Err: err}
	}
	return t, nil
}

// parseToken returns the token that an event carries.
func (s *stream) parseToken(ev event) (deck.Token, error) {
	if ev.name == wire.EventError {
		return deck.Token{}, errors.Newf("the engine reported an error: %.200q", ev.data)
	}
	last := string(ev.data) == wire.DoneData
	offset := s.nextOffset
	if !last || ev.id != "" {
		n, err := strconv.ParseUint(ev.id, 10, 31)
		if err != nil {
			return deck.Token{}, errors.Wrap(err, "event id")
		}
		offset = int(n)
	}
	if last {
		s.done = true
		return deck.Token{Offset: offset, Last: true}, nil
	}
	if !json.Valid(ev.data) {
		return deck.Token{}, errors.Newf("event %d is not JSON", offset)
	}
	s.gap = s.gap || offset > s.nextOffset
	if s.gap && !s.eventReader.room.Grow(int64(len(ev.data))) {
		return deck.Token{}, errNoRoom
	}
	s.nextOffset = max(s.nextOffset, offset+1)
	return deck.Token{Offset: offset, Data: ev.data}, nil
}

// readError returns the error of a stream that ended without the wire.DoneData event.
func (s *stream) readError(err error) error {
	if errors.Is(err, errUnterminatedStream) {
		e := &deck.EngineError{Kind: deck.EngineFailed, BootID: s.bootID, Err: err}
		if s.unframed {
			e.Kind = deck.EngineCrashed // only a lost connection ends such a response early
		}
		return e
	}
	e := classify(s.streamCtx, err, s.bootID)
	if e.Kind == deck.EngineStalled {
		s.client.pool.closeIdle()
		return e
	}
	if s.streamCtx.Err() != nil {
		return context.Cause(s.streamCtx)
	}
	return e
}

// A stallTimedBody runs the stall timer only while a Read waits for data, so that a slow consumer is not mistaken for a
// stalled connection.
type stallTimedBody struct {
	body       io.ReadCloser
	stallTimer *stallTimer
	timeout    time.Duration // stallTimeout if zero
}

// Read implements io.Reader.Read.
func (b *stallTimedBody) Read(p []byte) (int, error) {
	timeout := b.timeout
	if timeout == 0 {
		timeout = stallTimeout
	}
	b.stallTimer.start(timeout)
	defer b.stallTimer.stop()
	return b.body.Read(p)
}
