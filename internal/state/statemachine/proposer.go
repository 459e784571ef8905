package statemachine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A NotLeaderError reports that a command was not proposed because the replica is not the leader.
type NotLeaderError struct {
	Leader deck.VMName // the leader known to the replica; empty if it knows none
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return "not the control leader; known leader: " + string(e.Leader)
}

// A NotProposedError reports that a command was not appended to the log and will not be committed.
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

// A Proposer proposes commands to the local replica. It rejects them if the replica is not the leader.
type Proposer struct {
	Self  deck.VMName
	Log   deck.Log
	Clock deck.Clock
}

// Propose sets the time of an encoded command, commits it and returns its encoded result. After an error other than a
// NotLeaderError or a NotProposedError the command may still be committed.
func (p Proposer) Propose(ctx context.Context, data []byte) ([]byte, error) {
	e, err := command.Decode(data)
	if err != nil {
		return nil, &NotProposedError{Cause: err}
	}
	if leader := p.Log.Status().Leader.VM; leader != p.Self {
		return nil, &NotLeaderError{Leader: leader}
	}
	e.ProposedAt = p.Clock.Now()
	result, err := p.Log.Propose(ctx, command.Encode(e))
	return result, classifyLogError(err)
}

// classifyLogError converts the log's rejections, after which nothing was appended, to a NotLeaderError or a
// NotProposedError. After every other error the command may be committed.
func classifyLogError(err error) error {
	var notLeader deck.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &NotLeaderError{Leader: notLeader.Leader.VM}
	case errors.Is(err, deck.ErrLogBusy), errors.Is(err, deck.ErrCommandTooLarge):
		return &NotProposedError{Cause: err}
	default:
		return errors.Wrap(err, "propose")
	}
}
