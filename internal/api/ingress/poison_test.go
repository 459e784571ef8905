package ingress_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/ingress"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against crashes and verdicts that no VM counts any more, because a report was lost, the leader changed or this VM restarted.
func TestCrashReportsReachTheLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var p ingress.PoisonDetector
	refused := func(f ingress.Fingerprint) bool {
		r, _ := p.Refuses(now, f, nil)
		return r
	}
	p.RecordCrash(now, ingress.InterruptedCall{Fingerprint: 1, Server: deck.Server{ID: "e1"}, Parts: []uint64{7}, SentAt: now, Began: true})
	is.Equal(len(p.Report(now).Crashes), 1)
	now = now.Add(time.Second)
	again := p.Report(now) // the answer to the first was lost
	is.Equal(len(again.Crashes), 1)
	is.Equal(again.Crashes[0].Age, time.Second)
	p.Apply(now, deck.BlameView{Term: 1, Verdicts: []deck.Verdict{{Suspect: 5}}})
	is.Equal(len(p.Report(now).Crashes), 0)
	is.True(refused(5))

	p.Apply(now, deck.BlameView{Verdicts: []deck.Verdict{{Suspect: 6}}}) // of a leader that had no report
	is.True(refused(5) && refused(6))

	now = now.Add(time.Second)
	toNewLeader := p.Report(now)
	is.Equal(len(toNewLeader.Verdicts), 2)
	p.Apply(now, deck.BlameView{Term: 2, Verdicts: toNewLeader.Verdicts})
	is.Equal(len(p.Report(now).Crashes), 1) // the new leader may not know of it
	p.Apply(now, deck.BlameView{Term: 2, Verdicts: []deck.Verdict{{Suspect: 6}}})
	is.True(!refused(5) && refused(6)) // lifted by the leader
}
