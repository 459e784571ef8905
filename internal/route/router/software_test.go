package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var (
	v1 = deck.SoftwareVersion("v1")
	v2 = deck.SoftwareVersion("v2")
)

func (h *harness) report(b deck.BackendName, v deck.SoftwareVersion) {
	h.core.ObserveReport(deck.EngineReport{Backend: b, Software: v}, h.clock.Now())
}

// Guards against an attempt at a server that is known to run another software version than the one that began the answer, against one
// at a server of unknown version while one of the right version serves, and against a stale report that hides what an answer has told.
func TestSoftwareOfAttempts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3)
	h.report("e0", v1)
	h.report("e1", v2)
	reported := h.clock.Now()
	w, b := h.run(deck.RequestInfo{})
	h.observe(w, b, deck.ObservedCancel, 0)
	next := func(said *deck.SoftwareVersion) deck.BackendName {
		h.core.Reselect(w.request, nil, &v1, w.notify)
		if w.refusal != nil {
			return "refused"
		}
		b := h.take(w)
		h.core.Observe(w.request, deck.Observation{Kind: deck.ObservedCancel, Backend: b, Software: said})
		return b
	}
	for range 20 {
		is.Equal(next(nil), deck.BackendName("e0"))
	}
	h.clock.Advance(time.Second)
	is.Equal(next(&v2), deck.BackendName("e0"))
	h.core.ObserveReport(deck.EngineReport{Backend: "e0", Software: v1}, reported)
	for range 20 {
		is.Equal(next(nil), deck.BackendName("e2"))
	}
	is.Equal(next(&v2), deck.BackendName("e2"))
	is.Equal(next(nil), deck.BackendName("refused"))
	is.Equal(w.refusal.Kind, deck.RefusedNoBackend)
}

// Guards against a request that waits for a server of its software version and holds back others, or waits on when none is left.
func TestWaitForSoftware(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	batch := deck.RequestInfo{Class: deck.Batch}
	w, b := h.run(batch)
	h.observe(w, b, deck.ObservedCancel, 0)
	h.report("e0", v1)
	h.report("e1", v2)
	var onOther *submission
	for h.core.server("e0").room(deck.Batch, 1) > 0 {
		if running, b := h.run(batch); b == "e1" {
			onOther = running
		}
	}
	w.notified = 0
	h.core.Reselect(w.request, nil, &v1, w.notify)
	is.Equal(w.notified, 0)
	h.core.Release(onOther.request)
	_, b = h.run(batch)
	is.Equal(b, deck.BackendName("e1"))
	h.core.Tick()
	is.Equal(w.notified, 0)
	h.report("e0", v2)
	h.core.Tick()
	is.Equal(w.notified, 1)
	is.Equal(w.refusal.Kind, deck.RefusedNoBackend)
}
