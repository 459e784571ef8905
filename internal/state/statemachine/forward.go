package statemachine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// propose sends a command to the leader, and retries until it has a result or the context ends. The error is a
// NotProposedError only if no attempt can have reached the log.
func (c *Client) propose(ctx context.Context, cmd command.Command) (command.Result, error) {
	data := command.Encode(command.Envelope{Command: cmd})
	if len(data) > command.MaxBytes {
		return command.Result{}, &NotProposedError{Cause: errors.Newf("command of %d bytes", len(data))}
	}
	var lastErr error = &NotProposedError{Cause: errors.New("no control replica answers")}
	for {
		result, from, err := callReplicas(ctx, c, func(ctx context.Context, p deck.Peer) ([]byte, error) {
			return c.attempt(ctx, p, data)
		})
		if err == nil {
			c.setLeader(from)
			return command.DecodeResult(result)
		}
		if provesNotProposed(lastErr) {
			lastErr = err
		}
		if ctx.Err() != nil || !deck.Sleep(ctx, retryDelay) {
			return command.Result{}, proposalError(lastErr)
		}
	}
}

// proposalError returns the final error of a proposal: a NotProposedError, or an error after which the command may be
// committed.
func proposalError(lastErr error) error {
	if provesNotProposed(lastErr) {
		return &NotProposedError{Cause: lastErr}
	}
	return errors.Wrap(lastErr, "the command may have been committed")
}

func (c *Client) attempt(ctx context.Context, p deck.Peer, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if p.Name == c.cfg.Self && c.cfg.Local != nil {
		return c.cfg.Local.Propose(ctx, data)
	}
	return c.cfg.Forwarder.Forward(ctx, p, data)
}

// provesNotProposed reports whether the error proves that the command was not proposed.
func provesNotProposed(err error) bool {
	var notLeader *NotLeaderError
	var notProposed *NotProposedError
	return errors.As(err, &notLeader) || errors.As(err, &notProposed)
}

// adoptLeaderHint stores the leader that a NotLeaderError names and reports whether it differs from the one known before.
func (c *Client) adoptLeaderHint(err error) bool {
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.leader != notLeader.Leader
	c.leader = notLeader.Leader
	return changed
}

func (c *Client) setLeader(leader deck.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// replicasByPreference returns the control replicas with the presumed leader first.
func (c *Client) replicasByPreference() []deck.Peer {
	leader := c.presumedLeader()
	var first, rest []deck.Peer
	for _, p := range c.cfg.ControlReplicas {
		if p.Name == leader {
			first = append(first, p)
		} else {
			rest = append(rest, p)
		}
	}
	return append(first, rest...)
}

func (c *Client) presumedLeader() deck.VMName {
	if c.cfg.Local != nil {
		if vm := c.cfg.Local.Log.Status().Leader.VM; vm != "" {
			return vm
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// TicketStatus queries the control leader for the status of a ticket.
func (c *Client) TicketStatus(ctx context.Context, number uint64) (TicketStatus, error) {
	s, _, err := callReplicas(ctx, c, func(ctx context.Context, p deck.Peer) (TicketStatus, error) {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		return c.cfg.Forwarder.TicketStatus(ctx, p, number)
	})
	return s, errors.Wrap(err, "ticket status")
}
