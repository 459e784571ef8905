package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A harness applies commands to a machine with times that the test controls.
type harness struct {
	m     *Machine
	index uint64
	now   time.Time
}

func newHarness() *harness {
	return &harness{m: New(nil, nil), now: time.Unix(1_000_000, 0).UTC()}
}

func (h *harness) apply(c command.Command) command.Result {
	h.index++
	r, err := command.DecodeResult(h.m.Apply(h.index, command.Encode(command.Envelope{ProposedAt: h.now, Command: c})))
	if err != nil {
		panic(err)
	}
	return r
}

func (h *harness) begin(key, digest, claim string) deck.ClaimStatus {
	return h.apply(command.BeginCall{Key: key, Digest: digest, VM: "a", ClaimID: claim}).Claim.Status
}

func (h *harness) finish(key, claim string, o deck.Outcome) bool {
	answer := deck.ServiceAnswer{Outcome: o, Status: 201, Headers: map[string]string{"x": "y"}, Body: []byte(claim)}
	return h.apply(command.FinishCall{Key: key, ClaimID: claim, Answer: answer}).Recorded
}

// Guards against a begin-call that is granted or refused wrongly for any state of the key's record: in progress, timed out,
// finished, released or expired, also after a finish-call of another claim or under a new leader whose clock is behind.
func TestBeginCallResults(t *testing.T) {
	tests := map[string]struct {
		before func(h *harness)
		digest string
		want   deck.ClaimStatus
	}{
		"new key":         {func(*harness) {}, "d", deck.ClaimGranted},
		"in progress":     {func(h *harness) { h.begin("k", "d", "c1") }, "d", deck.ClaimInProgress},
		"other digest":    {func(h *harness) { h.begin("k", "d", "c1") }, "e", deck.ClaimMismatch},
		"finished":        {func(h *harness) { h.begin("k", "d", "c1"); h.finish("k", "c1", deck.OutcomeDone) }, "d", deck.ClaimFinished},
		"unknown":         {func(h *harness) { h.begin("k", "d", "c1"); h.finish("k", "c1", deck.OutcomeUnknown) }, "d", deck.ClaimUnknown},
		"released":        {func(h *harness) { h.begin("k", "d", "c1"); h.finish("k", "c1", deck.OutcomeNotRun) }, "d", deck.ClaimGranted},
		"59.9 s old":      {func(h *harness) { h.begin("k", "d", "c1"); h.wait(ClaimTimeout - 100*time.Millisecond) }, "d", deck.ClaimInProgress},
		"60 s old":        {func(h *harness) { h.begin("k", "d", "c1"); h.wait(ClaimTimeout) }, "d", deck.ClaimUnknown},
		"unknown, digest": {func(h *harness) { h.begin("k", "d", "c1"); h.wait(ClaimTimeout) }, "e", deck.ClaimMismatch},
		"late answer": {func(h *harness) {
			h.begin("k", "d", "c1")
			h.wait(ClaimTimeout)
			h.finish("k", "c1", deck.OutcomeDone)
		}, "d", deck.ClaimFinished},
		"24 h old": {func(h *harness) {
			h.begin("k", "d", "c1")
			h.finish("k", "c1", deck.OutcomeDone)
			h.wait(RecordRetention)
		}, "d", deck.ClaimGranted},
		"end of another claim": {func(h *harness) {
			h.begin("k", "d", "c1")
			h.finish("k", "c0", deck.OutcomeDone)
			h.finish("k", "c0", deck.OutcomeNotRun)
		}, "d", deck.ClaimInProgress},
		"release after the end": {func(h *harness) {
			h.begin("k", "d", "c1")
			h.finish("k", "c1", deck.OutcomeDone)
			h.finish("k", "c1", deck.OutcomeNotRun)
		}, "d", deck.ClaimFinished},
		"clock of a new leader is behind": {func(h *harness) {
			h.begin("k", "d", "c1")
			h.finish("k", "c1", deck.OutcomeDone)
			h.wait(-time.Hour)
			h.wait(RecordRetention)
		}, "d", deck.ClaimFinished},
		"claimed under a clock that is behind": {func(h *harness) {
			h.wait(0)
			h.wait(-time.Hour)
			h.begin("k", "d", "c1")
			h.wait(time.Hour + ClaimTimeout - time.Second)
		}, "d", deck.ClaimInProgress},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			tt.before(h)
			got := h.apply(command.BeginCall{Key: "k", Digest: tt.digest, VM: "a", ClaimID: "c2"}).Claim
			is.Equal(got.Status, tt.want)
			if got.Status == deck.ClaimFinished {
				is.Equal(string(got.Answer.Body), "c1")
				is.Equal(got.Answer.Headers, map[string]string{"x": "y"})
			}
		})
	}
}

func (h *harness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	h.apply(command.NoOp{})
}

// Guards against a repeated begin-call that is refused because of its own record, and against a begin-call that arrives after
// the release of its claim and claims the key again.
func TestBeginIsIdempotent(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.Equal(h.begin("k", "d", "c1"), deck.ClaimGranted)
	is.Equal(h.begin("k", "d", "c1"), deck.ClaimGranted)
	is.True(h.finish("k", "c1", deck.OutcomeNotRun))
	is.True(h.finish("k", "c1", deck.OutcomeNotRun))
	is.Equal(h.begin("k", "d", "c1"), deck.ClaimUnavailable)
	is.True(h.finish("k", "early", deck.OutcomeNotRun))
	is.Equal(h.begin("k", "d", "early"), deck.ClaimUnavailable)
	is.Equal(h.begin("k", "d", "c2"), deck.ClaimGranted)
	is.True(!h.finish("k", "c1", deck.OutcomeDone))
}

// Guards against a retention limit that drops a record in progress, or that does not drop the oldest finished records first.
func TestRetentionByCount(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.m.calls.maxEnded = 3
	h.begin("running", "d", "r")
	for i := range 10 {
		key := fmt.Sprint("k", i)
		h.begin(key, "d", key)
		h.finish(key, key, deck.OutcomeDone)
	}
	is.Equal(h.begin("running", "d", "other"), deck.ClaimInProgress)
	is.Equal(h.begin("k9", "d", "other"), deck.ClaimFinished)
	is.Equal(h.begin("k7", "d", "other"), deck.ClaimFinished)
	is.Equal(h.begin("k6", "d", "other"), deck.ClaimGranted)
}

// Guards against a second record of the same key and claim that expires by the queue entry of the first one.
func TestRecordsOfOneClaimAreDistinct(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.m.calls.maxEnded = 0
	h.begin("k", "d", "c1")
	h.finish("k", "c1", deck.OutcomeDone)
	h.wait(ClaimTimeout / 2)
	is.Equal(h.begin("k", "d", "c1"), deck.ClaimGranted) // a repeated begin-call, after the retention limit dropped the record
	h.wait(ClaimTimeout / 2)
	is.Equal(h.begin("k", "d", "c2"), deck.ClaimInProgress)
}

// Guards against a crash that counts twice, a digest that is refused below or not at the threshold, and a table that grows
// without limit.
func TestPoison(t *testing.T) {
	crash := func(boot string, alone bool) command.ReportCrash {
		return command.ReportCrash{Digest: "d", Backend: "e", BootID: boot, ReportID: "r" + boot, OnlySuspect: alone}
	}
	tests := map[string]struct {
		crashes []command.ReportCrash
		want    int
	}{
		"two crashes":            {[]command.ReportCrash{crash("1", false), crash("2", false)}, 0},
		"one crash three times":  {[]command.ReportCrash{crash("1", true), crash("1", false), crash("1", true)}, 0},
		"three crashes":          {[]command.ReportCrash{crash("1", false), crash("2", false), crash("3", false)}, 1},
		"two crashes, one alone": {[]command.ReportCrash{crash("1", false), crash("2", true)}, 1},
		"alone reported later":   {[]command.ReportCrash{crash("1", false), crash("2", false), crash("2", true)}, 1},
		"one report twice":       {[]command.ReportCrash{{Digest: "d", ReportID: "x", OnlySuspect: true}, {Digest: "d", ReportID: "x"}}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			for _, c := range tt.crashes {
				is.True(h.apply(c).Recorded)
			}
			is.Equal(len(h.m.RefusedDigests()), tt.want)
			h.wait(PoisonTTL)
			is.Equal(len(h.m.RefusedDigests()), 0)
		})
	}
	t.Run("bounded", func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.apply(crash("1", true))
		h.apply(crash("2", true))
		for i := range MaxPoisonDigests + 10 {
			h.apply(command.ReportCrash{Digest: fmt.Sprint(i), Backend: "e", BootID: "1"})
		}
		is.Equal(len(h.m.poison.digests), MaxPoisonDigests)
		is.Equal(len(h.m.RefusedDigests()), 1) // digests that are not refused are evicted first
	})
}
