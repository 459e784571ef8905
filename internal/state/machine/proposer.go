package machine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A NotLeaderError says that a command was not proposed because this replica does not lead.
type NotLeaderError struct {
	Hint deck.VMName // the leader that the replica knows of; empty for none
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return "not the control leader; known leader: " + string(e.Hint)
}

// A NotProposedError says that a command certainly did not reach the log.
type NotProposedError struct {
	Cause error
}

// Error implements error.
func (e *NotProposedError) Error() string {
	return "not proposed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error {
	return e.Cause
}

// A Proposer proposes commands on a VM that holds a replica; it refuses where the replica does not lead.
type Proposer struct {
	Self  deck.VMName
	Log   deck.Log
	Clock deck.Clock
}

// Propose sets the command's time and commits it. A NotLeaderError or NotProposedError means that it was not proposed;
// after any other error it may still be committed.
func (p Proposer) Propose(ctx context.Context, data []byte) ([]byte, error) {
	e, err := command.Decode(data)
	if err != nil {
		return nil, &NotProposedError{Cause: err}
	}
	if leader := p.Log.Status().Leader.VM; leader != p.Self {
		return nil, &NotLeaderError{Hint: leader}
	}
	e.At = p.Clock.Now()
	result, err := p.Log.Propose(ctx, command.Encode(e))
	return result, classifyLogError(err)
}

// classifyLogError tells the log's refusals, after which nothing was appended, from errors after which the command may be
// committed.
func classifyLogError(err error) error {
	var notLeader deck.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &NotLeaderError{Hint: notLeader.Leader.VM}
	case errors.Is(err, deck.ErrLogBusy), errors.Is(err, deck.ErrCommandTooLarge):
		return &NotProposedError{Cause: err}
	default:
		return errors.Wrap(err, "propose")
	}
}
