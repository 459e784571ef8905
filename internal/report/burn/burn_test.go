package burn

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

func newTestRecorder() (*Recorder, *decktest.ManualClock) {
	clock := &decktest.ManualClock{}
	clock.Advance(time.Hour)
	o := Objective{Class: deck.Interactive, FirstToken: time.Second, BetweenTokens: 47 * time.Millisecond, Target: 0.95}
	return NewRecorder(clock, []Objective{o}), clock
}

// Guards against good requests that count as bad and bad ones that count as good.
func TestRecordClassifiesRequests(t *testing.T) {
	tests := map[string]struct {
		in         deck.RequestSummary
		total, bad int64
	}{
		"good":          {deck.RequestSummary{TimeToFirstToken: time.Second, TokenGapP95: 47 * time.Millisecond}, 1, 0},
		"late first":    {deck.RequestSummary{TimeToFirstToken: 1001 * time.Millisecond}, 1, 1},
		"slow tokens":   {deck.RequestSummary{TokenGapP95: 48 * time.Millisecond}, 1, 1},
		"refused":       {deck.RequestSummary{Result: deck.RequestRefused}, 1, 1},
		"cut off":       {deck.RequestSummary{Result: deck.RequestCutOff}, 1, 1},
		"abandoned":     {deck.RequestSummary{Result: deck.RequestAbandoned}, 0, 0},
		"other class":   {deck.RequestSummary{Class: deck.Batch}, 0, 0},
		"zero is whole": {deck.RequestSummary{}, 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newTestRecorder()
			r.Record(tt.in)
			w := r.Report().Rows[0].Windows[0]
			is.Equal(w.Total, tt.total)
			is.Equal(w.Bad, tt.bad)
		})
	}
}

// Guards against counts that remain in a window after their minute has left it.
func TestWindowsExpire(t *testing.T) {
	is := is.New(t)
	r, clock := newTestRecorder()
	r.Record(deck.RequestSummary{Result: deck.RequestCutOff})
	clock.Advance(5 * time.Minute)
	w := r.Report().Rows[0].Windows
	is.Equal(w[0].Bad, int64(0))
	is.Equal(w[1].Bad, int64(1))
	clock.Advance(73 * time.Hour)
	is.Equal(r.Report().Rows[0].Windows[3].Total, int64(0))
}

// Guards against a burn rate that is not relative to the error budget, and against merging shares instead of counts.
func TestBurnAndMerge(t *testing.T) {
	is := is.New(t)
	a, _ := newTestRecorder()
	b, _ := newTestRecorder()
	for range 19 {
		a.Record(deck.RequestSummary{})
	}
	a.Record(deck.RequestSummary{Result: deck.RequestCutOff})
	for range 20 {
		b.Record(deck.RequestSummary{})
	}
	is.True(abs(a.Report().Rows[0].Windows[0].Burn-1) < 1e-9)
	m := Merge(a.Report(), b.Report()).Rows[0]
	is.Equal(m.Windows[0].Total, int64(40))
	is.True(abs(m.Windows[0].Burn-0.5) < 1e-9)
	is.True(abs(m.BudgetLeft-0.5) < 1e-9)
	var out bytes.Buffer
	is.NoErr(Merge(a.Report(), b.Report()).WriteText(&out))
	is.True(strings.Contains(out.String(), "interactive  95.00%  72h"))
}

func abs(f float64) float64 {
	return max(f, -f)
}
