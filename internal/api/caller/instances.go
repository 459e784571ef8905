package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
)

// endCheckInterval is the time between two checks whether a leaving instance has ended. It is shorter than most restarts take.
const endCheckInterval = 250 * time.Millisecond

// endChecks limits the rate of checks whether leaving instances have ended. The zero value has made none.
type endChecks struct {
	mu   sync.Mutex
	last map[deck.BackendName]time.Time
}

// due reports whether an instance is to be checked now, and counts the check.
func (c *endChecks) due(now time.Time, name deck.BackendName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last[name]) < endCheckInterval {
		return false
	}
	if c.last == nil {
		c.last = make(map[deck.BackendName]time.Time)
	}
	c.last[name] = now
	return true
}

// instances returns the instances of a service that are not known to leave by the state in force or the platform's list, those of
// this VM's data centre first. Within each group the first one changes round-robin.
func (h *Handler) instances(v deck.Service) []deck.BackendServer {
	state := h.State.State()
	var local, remote []deck.BackendServer
	for _, name := range v.Backends {
		b, ok := state.BackendServer(name)
		if !ok || b.Kind != deck.ServiceBackend || b.Leaving || h.Leaving != nil && h.Leaving(name) {
			continue
		}
		if b.DataCentre == h.DataCentre {
			local = append(local, b)
			continue
		}
		remote = append(remote, b)
	}
	rotation := h.rotation.Add(1)
	return append(rotated(local, rotation), rotated(remote, rotation)...)
}

func rotated(list []deck.BackendServer, rotation uint64) []deck.BackendServer {
	if len(list) == 0 {
		return nil
	}
	i := int(rotation % uint64(len(list)))
	return append(list[i:len(list):len(list)], list[:i]...)
}

// takesCalls reports whether an instance takes one more call now, by what it has said itself. Answers of plain services don't tell the
// incarnation, so a leaving instance is avoided until nothing listens at its address any more.
func (h *Handler) takesCalls(ctx context.Context, b deck.BackendServer) bool {
	now := h.Clock.Now()
	r := h.Restraints.Restraint(now, b.Name, "")
	if r.Leaving && h.endChecks.due(now, b.Name) {
		h.checks.Go(func() error {
			if h.Services.HasEnded(context.Background(), b.Address) {
				h.Restraints.Forget(b.Name)
			}
			return nil
		})
	}
	return r.Allows() && h.Restraints.Admit(ctx, b.Name, "")
}

// callInstance sends a call to an instance, and records what it says about the calls that it takes and whether the call may have
// crashed it.
func (h *Handler) callInstance(
	ctx context.Context, b deck.BackendServer, call deck.ServiceCall, suspect attempt.ServiceCall,
) deck.ServiceAnswer {
	sentAt := h.Clock.Now()
	answer := h.Services.Call(ctx, b.Address, call)
	answer.Notice.SentAt = sentAt
	if answer.Outcome == deck.OutcomeUnknown {
		answer.Notice.SentAt = time.Time{} // there was no answer
	}
	h.Restraints.ObserveNotice(h.Clock.Now(), b.Name, "", answer.Notice)
	switch {
	case answer.Interrupted:
		suspect.RecordInterruption(ctx, b.Name)
	case answer.Outcome == deck.OutcomeDone && answer.Status < http.StatusInternalServerError:
		suspect.RecordCompletion()
	}
	return answer
}

// withRetryAfter adds to the answer to a call that did not run when the first instance takes calls again, if none takes one
// now.
func (h *Handler) withRetryAfter(answer deck.ServiceAnswer, v deck.Service) deck.ServiceAnswer {
	if answer.Outcome != deck.OutcomeNotRun {
		return answer
	}
	now := h.Clock.Now()
	var first time.Time
	for _, b := range h.instances(v) {
		r := h.Restraints.Restraint(now, b.Name, "")
		if r.Allows() {
			return answer
		}
		if !r.Leaving && (first.IsZero() || r.Until.Before(first)) {
			first = r.Until
		}
	}
	if !first.IsZero() {
		answer.RetryAfter = first.Sub(now)
		answer.Reason = "no instance takes a call now"
	}
	return answer
}
