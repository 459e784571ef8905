package machine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// propose sends a command to the leader until an answer arrives or the context ends. The error is a NotProposedError
// only if no attempt can have reached the log.
func (c *Client) propose(ctx context.Context, cmd command.Command) (command.Result, error) {
	data := command.Encode(command.Envelope{Command: cmd})
	if len(data) > command.MaxBytes {
		return command.Result{}, &NotProposedError{Cause: errors.Newf("command of %d bytes", len(data))}
	}
	var last error = &NotProposedError{Cause: errors.New("no control replica answers")}
	for {
		result, from, err := askReplicas(ctx, c, func(ctx context.Context, p deck.Peer) ([]byte, error) {
			return c.attempt(ctx, p, data)
		})
		if err == nil {
			c.learn(from)
			return command.DecodeResult(result)
		}
		if certainlyNot(last) {
			last = err
		}
		if ctx.Err() != nil || !deck.Sleep(ctx, retryPause) {
			return command.Result{}, failure(last)
		}
	}
}

func failure(last error) error {
	if certainlyNot(last) {
		return &NotProposedError{Cause: last}
	}
	return errors.Wrap(last, "the command may have been committed")
}

func (c *Client) attempt(ctx context.Context, p deck.Peer, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if p.Name == c.cfg.Self && c.cfg.Local != nil {
		return c.cfg.Local.Propose(ctx, data)
	}
	return c.cfg.Forward.Forward(ctx, p, data)
}

// certainlyNot reports whether the error proves that the command was not proposed.
func certainlyNot(err error) bool {
	var leader *NotLeaderError
	var none *NotProposedError
	return errors.As(err, &leader) || errors.As(err, &none)
}

// follow takes over a replica's hint and reports whether it names another leader than the one that was known.
func (c *Client) follow(err error) bool {
	var other *NotLeaderError
	if !errors.As(err, &other) || other.Hint == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.leader != other.Hint
	c.leader = other.Hint
	return changed
}

func (c *Client) learn(leader deck.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// candidates returns the control replicas with the presumed leader first.
func (c *Client) candidates() []deck.Peer {
	leader := c.presumedLeader()
	var first, rest []deck.Peer
	for _, p := range c.cfg.Control {
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

// TicketStatus asks the control leader what became of a ticket and which VMs have it in force.
func (c *Client) TicketStatus(ctx context.Context, number uint64) (TicketStatus, error) {
	s, _, err := askReplicas(ctx, c, func(ctx context.Context, p deck.Peer) (TicketStatus, error) {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		return c.cfg.Forward.TicketStatus(ctx, p, number)
	})
	return s, errors.Wrap(err, "ticket status")
}
