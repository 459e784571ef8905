package caller

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/attempt"
)

const (
	// maxGaps limits the gaps between tokens that are kept for a request; for a longer answer they are the latest ones.
	maxGaps = 4096
	// gapQuantile is the quantile of the gaps between tokens that is compared with the latency objective.
	gapQuantile = 0.95
)

// A meteredSink wraps a sink and measures the time to the first token and the gaps between tokens.
type meteredSink struct {
	attempt.Sink
	clock       deck.Clock
	startedAt   time.Time
	lastTokenAt time.Time
	firstToken  time.Duration
	tokens      int
	gaps        []time.Duration
}

var _ attempt.Sink = (*meteredSink)(nil)

func newMeteredSink(sink attempt.Sink, clock deck.Clock) *meteredSink {
	return &meteredSink{Sink: sink, clock: clock, startedAt: clock.Now()}
}

// Token implements attempt.Sink.Token.
func (s *meteredSink) Token(t deck.Token) error {
	now := s.clock.Now()
	if s.tokens == 0 {
		s.firstToken = now.Sub(s.startedAt)
	} else {
		s.recordGap(now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.tokens++
	return s.Sink.Token(t)
}

func (s *meteredSink) recordGap(d time.Duration) {
	if len(s.gaps) < maxGaps {
		s.gaps = append(s.gaps, d)
		return
	}
	s.gaps[s.tokens%maxGaps] = d
}

// summary returns the summary of the request for reports.
func (s *meteredSink) summary(info deck.RequestInfo, r attempt.Result) deck.RequestSummary {
	return deck.RequestSummary{
		Class: info.Class, Model: info.Model, Result: requestResult(r.Kind), TimeToFirstToken: s.firstToken,
		TokenGapP95: s.betweenTokens(), Tokens: s.tokens, Attempts: r.Attempts, OtherSoftware: r.OtherSoftware,
	}
}

func (s *meteredSink) betweenTokens() time.Duration {
	if len(s.gaps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.gaps))
	return sorted[int(gapQuantile*float64(len(sorted)-1))]
}

func requestResult(k attempt.ResultKind) deck.RequestResult {
	switch k {
	case attempt.Completed:
		return deck.RequestComplete
	case attempt.Refused, attempt.Rejected:
		return deck.RequestRefused
	case attempt.Disconnected:
		return deck.RequestAbandoned
	default:
		return deck.RequestCutOff
	}
}
