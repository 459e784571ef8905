package ingress

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

const (
	// Callers abandon a silent stream after the longest of these: a time, and multiples of the latency target and of the gap target.
	minPatience           = 2 * time.Second
	patienceLatencyFactor = 4
	patienceGapFactor     = 8

	// resumeShare is the share of that time for which an interrupted stream waits for an engine that continues it. The rest is for the
	// interruption to be noticed, and for reading the prompt.
	resumeShare = 0.75

	// placementInterval is the time between two requests for a model that an interrupted stream waits for.
	placementInterval = 1 * time.Second

	// keepMargin is added to the timeout of a call to get the time for which the origin of its stream is kept.
	keepMargin = 5 * time.Second

	// originRetryAfter is the retry delay of a call that resumes a stream of unknown origin, whose record may be on its way.
	originRetryAfter = 500 * time.Millisecond
)

// StreamKeyOf returns the key of the stream whose first event the attempt with the ID brought.
func StreamKeyOf(id deck.RequestID) deck.StreamKey {
	return deck.StreamKey(xxhash.Sum64String(string(id)))
}

// resumes reports whether the call resumes a stream that an earlier attempt of its caller has begun.
func (c *callRun) resumes() bool {
	return c.route.Kind == deck.CallStream && c.call.LastEventID != ""
}

// awaitOrigin makes a call that resumes a stream go on where the stream began. It returns false if that is unknown, or if the route does
// not lead there any more; the caller has been answered then.
func (c *callRun) awaitOrigin() bool {
	if !c.resumes() || c.h.Origins == nil {
		return true
	}
	origin, reason := c.findOrigin()
	if reason != "" {
		c.refuseNotRun(originRetryAfter, reason)
		return false
	}
	c.useService(origin.Service)
	c.continueAt(origin)
	c.requirements.MaxWait = max(c.requirements.MaxWait, c.resumeTimeout())
	return true
}

// findOrigin returns where the stream began that the call resumes, or why the stream can't go on. Without a record, that is known only if
// all streams that may be resumed began at the same place.
func (c *callRun) findOrigin() (origin deck.StreamOrigin, reason string) {
	finding := c.h.Origins.Find(c.ctx, StreamKeyOf(c.call.Resumes))
	if finding.Known {
		if !c.leadsTo(finding.Origin.Service) {
			return origin, "the route no longer leads to the service that began the stream"
		}
		return finding.Origin, ""
	}
	candidates := c.possibleOrigins(finding.Recent)
	c.h.Log.Info("origin of a stream is unknown", "request", string(c.call.ID), "resumes", string(c.call.Resumes),
		"candidates", len(candidates), "asked", finding.Asked, "answers", finding.Answers)
	switch {
	case 2*finding.Answers <= finding.Asked:
		return origin, "too few control VMs say where the stream began"
	case len(candidates) != 1:
		return origin, "it is unknown which software version began the stream"
	}
	return candidates[0], ""
}

// possibleOrigins returns the distinct origins that a stream on the route may have; recent are those of streams that may be resumed.
func (c *callRun) possibleOrigins(recent []deck.StreamOrigin) []deck.StreamOrigin {
	var out []deck.StreamOrigin
	for _, o := range recent {
		if c.leadsTo(o.Service) {
			out = append(out, o)
		}
	}
	for _, target := range c.route.Targets {
		for _, v := range c.h.Balancer.RecentSoftware(time.Now(), target.Service, c.keepOrigin()) {
			out = append(out, deck.StreamOrigin{Service: target.Service, Software: v})
		}
	}
	slices.SortFunc(out, deck.StreamOrigin.Compare)
	return slices.Compact(out)
}

// resumeTimeout returns how long an interrupted stream waits for an engine that continues it.
func (c *callRun) resumeTimeout() time.Duration {
	patience := max(minPatience, patienceLatencyFactor*c.route.LatencyTarget, patienceGapFactor*c.route.EventGapTarget)
	return time.Duration(resumeShare * float64(patience))
}

// prepareContinuation requests the placement of a model that no engine holds which could continue the stream, and reports whether such an
// engine may become available in time.
func (c *callRun) prepareContinuation(now time.Time, result balance.PickResult) bool {
	since := c.interruptedAt
	if !c.headSent {
		since = c.start.Add(c.creditWait)
	}
	absent := result == balance.ModelAbsent || result == balance.AdapterAbsent
	if absent && now.Sub(c.placedAt) >= placementInterval {
		c.placedAt = now
		c.requestPlacement(result)
	}
	waited := time.Since(since)
	switch {
	case !c.headSent && (absent && c.readyIn == 0 || result == balance.NoServer):
		return waited < c.maxAdmissionWait()
	default:
		return waited < c.resumeTimeout()
	}
}

// leadsTo reports whether the route sends calls to the service.
func (c *callRun) leadsTo(s deck.ServiceName) bool {
	return slices.ContainsFunc(c.route.Targets, func(t deck.RouteTarget) bool { return t.Service == s && t.Weight > 0 })
}

// keepOrigin returns how long the origin of the call's stream is kept.
func (c *callRun) keepOrigin() time.Duration {
	return max(c.route.Timeout, c.call.Timeout) + keepMargin
}

// continueAt makes all further offers of the call go to servers of the origin.
func (c *callRun) continueAt(origin deck.StreamOrigin) {
	c.origin.Store(&origin)
	c.requirements.Continued = &origin
}

// avoidUnannounced keeps a stream that another VM may be asked to continue from servers whose software version is not announced.
func (c *callRun) avoidUnannounced() {
	if c.h.Origins != nil && c.route.Kind == deck.CallStream && c.route.Resumable {
		c.requirements.Unannounced = c.h.Origins.Unannounced(c.service)
	}
}

// recordOrigin records where the stream goes on whose first event this call is about to deliver.
func (c *callRun) recordOrigin(s deck.Server) {
	origin := deck.StreamOrigin{Service: c.service, Software: s.Software}
	c.continueAt(origin)
	if c.h.Origins == nil || !c.route.Resumable {
		return
	}
	first := c.call.ID
	if c.resumes() && c.call.Resumes != "" {
		first = c.call.Resumes
	}
	c.h.Origins.Record(deck.StreamRecord{Stream: StreamKeyOf(first), Origin: origin, Keep: c.keepOrigin()})
}

// useService makes the call go to servers of the service.
func (c *callRun) useService(name deck.ServiceName) {
	c.service, c.requirements.Service = name, name
	c.requirements.Model, c.requirements.Adapter = "", ""
	c.healthPath, c.requirements.Probed = "", false
	s, ok := c.routes.Config().Service(name)
	if !ok || s.Engine == nil {
		return
	}
	c.requirements.Model, c.requirements.Adapter = c.call.Model, c.call.Adapter
	if c.route.Kind == deck.CallStream {
		c.healthPath = s.HealthPath
		c.requirements.Probed = c.healthPath != ""
	}
}
