package machine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A bench applies commands to a machine at times that the test sets.
type bench struct {
	m     *Machine
	index uint64
	now   time.Time
}

func newBench() *bench {
	return &bench{m: New(nil, nil), now: time.Unix(1_000_000, 0).UTC()}
}

func (b *bench) apply(c command.Command) command.Result {
	b.index++
	r, err := command.DecodeResult(b.m.Apply(b.index, command.Encode(command.Envelope{At: b.now, Command: c})))
	if err != nil {
		panic(err)
	}
	return r
}

func (b *bench) begin(key, digest, claim string) deck.ClaimStatus {
	return b.apply(command.BeginCall{Key: key, Digest: digest, VM: "a", Claim: claim}).Claim.Status
}

func (b *bench) finish(key, claim string, o deck.Outcome) bool {
	answer := deck.ServiceAnswer{Outcome: o, Status: 201, Headers: map[string]string{"x": "y"}, Body: []byte(claim)}
	return b.apply(command.FinishCall{Key: key, Claim: claim, Answer: answer}).Recorded
}

// Guards against each answer of design section 5 that is not exact, and against an end that belongs to another claim.
func TestCallAnswers(t *testing.T) {
	tests := map[string]struct {
		before func(b *bench)
		digest string
		want   deck.ClaimStatus
	}{
		"new key":         {func(*bench) {}, "d", deck.ClaimGranted},
		"in progress":     {func(b *bench) { b.begin("k", "d", "c1") }, "d", deck.ClaimInProgress},
		"other digest":    {func(b *bench) { b.begin("k", "d", "c1") }, "e", deck.ClaimMismatch},
		"finished":        {func(b *bench) { b.begin("k", "d", "c1"); b.finish("k", "c1", deck.OutcomeDone) }, "d", deck.ClaimFinished},
		"unknown":         {func(b *bench) { b.begin("k", "d", "c1"); b.finish("k", "c1", deck.OutcomeUnknown) }, "d", deck.ClaimUnknown},
		"released":        {func(b *bench) { b.begin("k", "d", "c1"); b.finish("k", "c1", deck.OutcomeNotRun) }, "d", deck.ClaimGranted},
		"59.9 s old":      {func(b *bench) { b.begin("k", "d", "c1"); b.wait(ClaimTimeout - 100*time.Millisecond) }, "d", deck.ClaimInProgress},
		"60 s old":        {func(b *bench) { b.begin("k", "d", "c1"); b.wait(ClaimTimeout) }, "d", deck.ClaimUnknown},
		"unknown, digest": {func(b *bench) { b.begin("k", "d", "c1"); b.wait(ClaimTimeout) }, "e", deck.ClaimMismatch},
		"late answer": {func(b *bench) {
			b.begin("k", "d", "c1")
			b.wait(ClaimTimeout)
			b.finish("k", "c1", deck.OutcomeDone)
		}, "d", deck.ClaimFinished},
		"24 h old": {func(b *bench) {
			b.begin("k", "d", "c1")
			b.finish("k", "c1", deck.OutcomeDone)
			b.wait(RecordRetention)
		}, "d", deck.ClaimGranted},
		"end of another claim": {func(b *bench) {
			b.begin("k", "d", "c1")
			b.finish("k", "c0", deck.OutcomeDone)
			b.finish("k", "c0", deck.OutcomeNotRun)
		}, "d", deck.ClaimInProgress},
		"release after the end": {func(b *bench) {
			b.begin("k", "d", "c1")
			b.finish("k", "c1", deck.OutcomeDone)
			b.finish("k", "c1", deck.OutcomeNotRun)
		}, "d", deck.ClaimFinished},
		"clock of a new leader is behind": {func(b *bench) {
			b.begin("k", "d", "c1")
			b.finish("k", "c1", deck.OutcomeDone)
			b.wait(-time.Hour)
			b.wait(RecordRetention)
		}, "d", deck.ClaimFinished},
		"claimed under a clock that is behind": {func(b *bench) {
			b.wait(0)
			b.wait(-time.Hour)
			b.begin("k", "d", "c1")
			b.wait(time.Hour + ClaimTimeout - time.Second)
		}, "d", deck.ClaimInProgress},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			tt.before(b)
			got := b.apply(command.BeginCall{Key: "k", Digest: tt.digest, VM: "a", Claim: "c2"}).Claim
			is.Equal(got.Status, tt.want)
			if got.Status == deck.ClaimFinished {
				is.Equal(string(got.Answer.Body), "c1")
				is.Equal(got.Answer.Headers, map[string]string{"x": "y"})
			}
		})
	}
}

func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.apply(command.NoOp{})
}

// Guards against a proposal that does not recognise its own record, and one that arrives after its release and claims the
// key again.
func TestBeginIsRepeatable(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.Equal(b.begin("k", "d", "c1"), deck.ClaimGranted)
	is.Equal(b.begin("k", "d", "c1"), deck.ClaimGranted)
	is.True(b.finish("k", "c1", deck.OutcomeNotRun))
	is.True(b.finish("k", "c1", deck.OutcomeNotRun))
	is.Equal(b.begin("k", "d", "c1"), deck.ClaimUnavailable)
	is.True(b.finish("k", "early", deck.OutcomeNotRun))
	is.Equal(b.begin("k", "d", "early"), deck.ClaimUnavailable)
	is.Equal(b.begin("k", "d", "c2"), deck.ClaimGranted)
	is.True(!b.finish("k", "c1", deck.OutcomeDone))
}

// Guards against retention that drops a record in progress, or finished records in another order than that of their end.
func TestRetentionByCount(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.m.calls.maxEnded = 3
	b.begin("running", "d", "r")
	for i := range 10 {
		key := fmt.Sprint("k", i)
		b.begin(key, "d", key)
		b.finish(key, key, deck.OutcomeDone)
	}
	is.Equal(b.begin("running", "d", "other"), deck.ClaimInProgress)
	is.Equal(b.begin("k9", "d", "other"), deck.ClaimFinished)
	is.Equal(b.begin("k7", "d", "other"), deck.ClaimFinished)
	is.Equal(b.begin("k6", "d", "other"), deck.ClaimGranted)
}

// Guards against a second record of a key and claim that expires with the first one.
func TestRecordsOfOneClaimAreDistinct(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.m.calls.maxEnded = 0
	b.begin("k", "d", "c1")
	b.finish("k", "c1", deck.OutcomeDone)
	b.wait(ClaimTimeout / 2)
	is.Equal(b.begin("k", "d", "c1"), deck.ClaimGranted) // a repeated message, after retention dropped the record
	b.wait(ClaimTimeout / 2)
	is.Equal(b.begin("k", "d", "c2"), deck.ClaimInProgress)
}

// Guards against a crash that counts twice, a refusal too early or too late, and rows without bound.
func TestPoison(t *testing.T) {
	crash := func(boot string, alone bool) command.ReportCrash {
		return command.ReportCrash{Digest: "d", Backend: "e", BootID: boot, Report: "r" + boot, Alone: alone}
	}
	tests := map[string]struct {
		crashes []command.ReportCrash
		want    int
	}{
		"two crashes":            {[]command.ReportCrash{crash("1", false), crash("2", false)}, 0},
		"one crash three times":  {[]command.ReportCrash{crash("1", true), crash("1", false), crash("1", true)}, 0},
		"three crashes":          {[]command.ReportCrash{crash("1", false), crash("2", false), crash("3", false)}, 1},
		"two crashes, one alone": {[]command.ReportCrash{crash("1", false), crash("2", true)}, 1},
		"alone told later":       {[]command.ReportCrash{crash("1", false), crash("2", false), crash("2", true)}, 1},
		"one report twice":       {[]command.ReportCrash{{Digest: "d", Report: "x", Alone: true}, {Digest: "d", Report: "x"}}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			for _, c := range tt.crashes {
				is.True(b.apply(c).Recorded)
			}
			is.Equal(len(b.m.Poisoned()), tt.want)
			b.wait(PoisonExpiry)
			is.Equal(len(b.m.Poisoned()), 0)
		})
	}
	t.Run("bounded", func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.apply(crash("1", true))
		b.apply(crash("2", true))
		for i := range MaxPoisonRows + 10 {
			b.apply(command.ReportCrash{Digest: fmt.Sprint(i), Backend: "e", BootID: "1"})
		}
		is.Equal(len(b.m.poison.rows), MaxPoisonRows)
		is.Equal(len(b.m.Poisoned()), 1) // rows that are not refused make room first
	})
}
