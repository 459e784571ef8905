package statemachine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// Guards against a part of prompts that crashes engines and is not refused on all VMs, and against a refusal of parts that merely were
// in flight: when engines failed together, at crashes of a single request, or that engines have written answers on.
func TestPartsOfPrompts(t *testing.T) {
	const gap = time.Second
	type report struct {
		digest  string
		backend deck.BackendName
		after   time.Duration
	}
	for _, tc := range []struct {
		name    string
		reports []report
		sound   bool // an engine writes an answer on the part before the last report
		refused bool
	}{
		{"different requests", []report{{"a", "e1", gap}, {"b", "e2", gap}, {"c", "e3", gap}}, false, true},
		{"a request twice", []report{{"a", "e1", gap}, {"a", "e2", 0}, {"b", "e3", gap}}, false, true},
		{"two crashes", []report{{"a", "e1", gap}, {"b", "e2", gap}}, false, false},
		{"one crash reported by all", []report{{"a", "e1", gap}, {"b", "e1", 0}, {"c", "e1", gap}}, false, false},
		{"engines that fail together", []report{{"a", "e1", 0}, {"b", "e2", 0}, {"c", "e3", 0}}, false, false},
		{"a single request", []report{{"a", "e1", gap}, {"a", "e2", gap}, {"a", "e3", gap}}, false, false},
		{"beside another request", []report{{"a", "e1", gap}, {"b", "e1", 0}, {"a", "e2", gap}, {"b", "e2", 0}, {"a", "e3", gap}}, false, false},
		{"sound", []report{{"a", "e1", gap}, {"b", "e2", gap}, {"c", "e3", gap}}, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			for i, r := range tc.reports {
				h.now = h.now.Add(r.after)
				if tc.sound && i == len(tc.reports)-1 {
					h.apply(command.ReportSound{Part: 7})
				}
				h.apply(command.ReportCrash{Digest: r.digest, Backend: r.backend, BootID: "b1", Parts: []uint64{7}})
			}
			data, err := h.m.Snapshot()
			is.NoErr(err)
			restored := New(nil, nil)
			is.NoErr(restored.Restore(data))
			for _, m := range []*Machine{h.m, restored} {
				refused := false
				for _, d := range m.RefusedDigests() {
					refused = refused || d.Digest == partDigest(7)
				}
				is.Equal(refused, tc.refused)
			}
			if tc.refused {
				h.apply(command.ReportSound{Part: 7})
				is.Equal(len(h.m.RefusedDigests()), 0)
			}
		})
	}
}

// Guards against a crashing part that costs as many engines as at first each time its refusal expires.
func TestExpiredPartIsRefusedAtItsNextCrash(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	crash := func(digest string) {
		h.now = h.now.Add(time.Second)
		h.apply(command.ReportCrash{Digest: digest, Backend: deck.BackendName("e-" + digest), BootID: "b1", Parts: []uint64{7}})
	}
	for _, digest := range []string{"a", "b", "c"} {
		is.Equal(len(h.m.RefusedDigests()), 0)
		crash(digest)
	}
	is.Equal(len(h.m.RefusedDigests()), 1)
	h.now = h.now.Add(2 * PoisonTTL)
	h.apply(command.NoOp{})
	is.Equal(len(h.m.RefusedDigests()), 0)
	crash("d")
	is.Equal(len(h.m.RefusedDigests()), 1)
	h.now = h.now.Add(2 * partRetention)
	crash("e")
	is.Equal(len(h.m.RefusedDigests()), 0) // forgotten
}
