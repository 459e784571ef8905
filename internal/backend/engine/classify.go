package engine

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// classify returns what a transport error means for the attempt.
func classify(ctx context.Context, err error, boot string) *deck.EngineError {
	e := &deck.EngineError{Kind: deck.EngineFailed, BootID: boot, Err: err}
	var dial *dialError
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		e.Kind = deck.EngineStalled
	case errors.As(err, &dial):
		e.Kind = deck.EngineUnreachable
	case isBroken(err):
		e.Kind = deck.EngineCrashed
	}
	return e
}

// isBroken reports whether the connection ended, as opposed to a response that breaks the protocol.
func isBroken(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	var op *net.OpError
	// net/http has no exported error for a pooled connection that the server closed.
	return errors.As(err, &op) || err.Error() == "http: server closed idle connection"
}
