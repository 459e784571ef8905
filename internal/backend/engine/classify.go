package engine

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// classify maps a transport error to a deck.EngineError.
func classify(ctx context.Context, err error, bootID string) *deck.EngineError {
	e := &deck.EngineError{Kind: deck.EngineFailed, BootID: bootID, Err: err}
	var dialErr *dialError
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		e.Kind = deck.EngineStalled
	case errors.As(err, &dialErr):
		e.Kind = deck.EngineUnreachable
	case isConnectionError(err):
		e.Kind = deck.EngineCrashed
	}
	return e
}

// isConnectionError reports whether the connection was closed or reset, as opposed to a response that violates the protocol.
func isConnectionError(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	var opErr *net.OpError
	// net/http exports no error value for a pooled connection that the server closed, so its text is compared.
	return errors.As(err, &opErr) || err.Error() == "http: server closed idle connection"
}
