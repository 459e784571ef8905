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

// Limits of reading the rest of a finished response, without which its connection can't be used again.
const (
	drainTimeout = 250 * time.Millisecond
	maxDrain     = 4 << 10
)

// A stream is a running response of an engine.
type stream struct {
	client *Client
	ctx    context.Context // of Generate
	run    context.Context // cancelled with errStalled by the watch
	cancel context.CancelCauseFunc
	body   *watchedBody
	events *events
	boot   string
	next   int // offset after the last token
	ended  bool
}

var (
	_ deck.TokenStream    = (*stream)(nil)
	_ deck.BootIdentified = (*stream)(nil)
)

// BootID implements deck.BootIdentified.BootID.
func (s *stream) BootID() string {
	return s.boot
}

// Close implements deck.TokenStream.Close.
func (s *stream) Close() error {
	if s.ended {
		s.body.limit = drainTimeout
		_, _ = io.CopyN(io.Discard, s.body, maxDrain)
	}
	s.cancel(nil)
	return s.body.body.Close()
}

// Next implements deck.TokenStream.Next; failures are *deck.EngineError or the context's error.
func (s *stream) Next(ctx context.Context) (deck.Token, error) {
	if s.ended {
		return deck.Token{}, io.EOF
	}
	if ctx != s.ctx {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	ev, err := s.events.next()
	if err != nil {
		return deck.Token{}, s.failure(err)
	}
	t, err := s.token(ev)
	if err != nil {
		return deck.Token{}, &deck.EngineError{Kind: deck.EngineFailed, BootID: s.boot, Err: err}
	}
	return t, nil
}

// token returns the token of an event.
func (s *stream) token(ev event) (deck.Token, error) {
	if ev.name == wire.EventError {
		return deck.Token{}, errors.Newf("the engine reported an error: %.200q", ev.data)
	}
	last := string(ev.data) == wire.Done
	offset := s.next
	if !last || ev.id != "" {
		n, err := strconv.ParseUint(ev.id, 10, 31)
		if err != nil {
			return deck.Token{}, errors.Wrap(err, "event id")
		}
		offset = int(n)
	}
	if last {
		s.ended = true
		return deck.Token{Offset: offset, Last: true}, nil
	}
	if !json.Valid(ev.data) {
		return deck.Token{}, errors.Newf("event %d is not JSON", offset)
	}
	s.next = max(s.next, offset+1)
	return deck.Token{Offset: offset, Data: ev.data}, nil
}

// failure says what the end of the response without [DONE] means.
func (s *stream) failure(err error) error {
	if errors.Is(err, errNoMoreEvents) {
		return &deck.EngineError{Kind: deck.EngineFailed, BootID: s.boot, Err: err}
	}
	e := classify(s.run, err, s.boot)
	if e.Kind == deck.EngineStalled {
		s.client.pool.closeIdle()
		return e
	}
	if s.run.Err() != nil {
		return context.Cause(s.run)
	}
	return e
}

// A watchedBody runs the stall timer while it waits for bytes, so that a slow reader is not taken for a silent
// connection.
type watchedBody struct {
	body  io.ReadCloser
	watch *watch
	limit time.Duration // stallTimeout if zero
}

// Read implements io.Reader.Read.
func (b *watchedBody) Read(p []byte) (int, error) {
	limit := b.limit
	if limit == 0 {
		limit = stallTimeout
	}
	b.watch.start(limit)
	defer b.watch.stop()
	return b.body.Read(p)
}
