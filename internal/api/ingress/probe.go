package ingress

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/backend/http1"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

const (
	// maxProbes is how many engines are probed for their load before a call is offered. If a seventh of the engines is slow at
	// a time, one call in 300 finds three slow ones.
	maxProbes = 3

	// probeTimeout covers several round trips within a region; without an answer in this time the call is offered.
	probeTimeout = 40 * time.Millisecond

	// maxLoadAge is the age up to which a load that the engine reported replaces a probe: a few steps of its batch.
	maxLoadAge = 50 * time.Millisecond
)

// pickProbed returns the engine to offer a call to: the chosen one, or another if the chosen one reports that its VM is busy with
// other work or that all its slots are taken. The loads that entry VMs exchange are too old for this. Engines in other regions
// are not probed, since the probe would take as long as reading the prompt.
func (c *callRun) pickProbed(first deck.Server) (deck.Server, balance.PickResult) {
	req := c.requirements
	req.Tried = maps.Clone(c.requirements.Tried)
	req.Among = make(map[deck.BackendName]bool)
	s := first
	for range maxProbes {
		now := time.Now()
		if c.h.Restraints.Restraint(now, s.ID, s.Incarnation()).Limited {
			return s, balance.Chosen // a probe would count against its limit
		}
		sameRegion, loadAge := c.h.Balancer.ProbeInfo(now, s.ID)
		if !sameRegion || loadAge > maxLoadAge && !c.probe(s) || c.h.Balancer.IsSuitable(time.Now(), s.ID, c.requirements) {
			return s, balance.Chosen
		}
		req.Tried[s.ID], req.Among[s.ID] = true, true
		others := req
		others.Among = nil
		next, result := c.h.Balancer.Pick(time.Now(), others)
		if result != balance.Chosen {
			break
		}
		s = next
	}
	req.Tried = c.requirements.Tried
	return c.h.Balancer.Pick(time.Now(), req)
}

// probe asks an engine for its load through its liveness check; it returns true if the engine's record was updated.
func (c *callRun) probe(s deck.Server) bool {
	c.probes++
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	ex, err := c.h.Client.Do(ctx, s.Address, &http1.Request{
		Method: http.MethodGet, Target: c.healthPath, Host: s.Address, Header: make(http.Header), Unidentified: true,
	})
	now := time.Now()
	if err != nil {
		var send *http1.SendError
		if errors.As(err, &send) && !send.MaybeSent && c.ctx.Err() == nil {
			c.h.Balancer.RecordUnreachable(now, s.ID)
			return true
		}
		return false // a liveness check that fails says nothing about calls
	}
	health, ok := c.h.Codec.ReadHealth(ex.Response)
	if !ok {
		ex.Abort()
		return false
	}
	discard(ex)
	if health.Server != "" && health.Server != s.ID {
		c.h.Balancer.RecordIdentityMismatch(now, s.ID)
		return true
	}
	c.h.Restraints.ObserveNotice(now, s.ID, s.Incarnation(), health.Notice)
	if health.HasLoad {
		c.h.Balancer.RecordLoad(now, s.ID, health.Load)
	}
	return health.HasLoad
}
