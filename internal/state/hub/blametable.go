package hub

import (
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// objectionMargin is added to the time in which each entry VM polls once: a round trip between regions, and the delay of a slow VM.
const objectionMargin = 400 * time.Millisecond

// A blameTable collects what entry VMs report about requests that crash backend servers. Its zero value is empty.
type blameTable struct {
	ledger       blame.Ledger
	verdicts     blame.Verdicts
	watchedSince map[uint64]time.Time // parts that entry VMs have been asked about

	unsaved       bool // something but the verdicts has changed since the last takeChange
	savedVerdicts map[uint64]savedVerdict

	known map[uint64]bool // suspects with a verdict at the last hasNewVerdict
}

// record adds an entry VM's report. Verdicts that the VM knows from an earlier leader are taken over.
func (t *blameTable) record(now time.Time, vm deck.VMName, r deck.BlameReport, log logr.Logger) {
	for _, suspect := range r.Cleared {
		t.ledger.Clear(now, suspect)
		t.liftFor(now, suspect, log, "a request with the suspect completed", "vm", string(vm))
	}
	t.unsaved = t.unsaved || len(r.Crashes) > 0
	for _, c := range r.Crashes {
		if t.ledger.Record(now, c) && t.verdicts.Add(now, c.RequestFingerprint) {
			log.Info("request is refused: it crashes backend servers", "suspect", formatSuspect(c.RequestFingerprint),
				"vm", string(vm), "last-server", string(c.Server))
		}
	}
	t.verdicts.Merge(now, r.Verdicts)
}

// decide refuses the parts of prompts that are to blame, once all entry VMs have had the time to object: servers may have written
// answers on the part at those that saw none of its crashes. After a restart of all VMs nobody could object to the crashes before it, so that
// a further one is needed. A verdict is lifted if another part explains its crashes by now.
func (t *blameTable) decide(now time.Time, pollWait time.Duration, log logr.Logger) {
	watched := t.ledger.Watched(now)
	since := make(map[uint64]time.Time, len(watched))
	for _, part := range watched {
		since[part] = now
		if asked, ok := t.watchedSince[part]; ok {
			since[part] = asked
		}
	}
	t.watchedSince = since
	if len(watched) == 0 {
		return
	}
	blamed := t.ledger.BlamedParts(now)
	for _, part := range blamed {
		asked := now.Sub(since[part]) >= pollWait+objectionMargin && t.ledger.HasNewEvidence(part)
		if asked && !t.verdicts.Has(now, part) {
			t.verdicts.Add(now, part)
			log.Info("part of prompts is refused: it crashes backend servers", "suspect", formatSuspect(part))
		}
	}
	for _, part := range watched {
		if t.verdicts.Has(now, part) && t.ledger.BlamesPart(part) && !slices.Contains(blamed, part) {
			t.liftFor(now, part, log, "another part of prompts explains the crashes")
		}
	}
}

// hasNewVerdict reports whether a suspect is refused that was not at the last call.
func (t *blameTable) hasNewVerdict(now time.Time) bool {
	before := t.known
	t.known = make(map[uint64]bool)
	news := false
	for _, v := range t.verdicts.List(now) {
		t.known[v.Suspect] = true
		news = news || !before[v.Suspect]
	}
	return news
}

// view returns the answer to a report; term is that in which it was recorded, 0 if it was not.
func (t *blameTable) view(now time.Time, term uint64, r deck.BlameReport) deck.BlameView {
	v := deck.BlameView{
		Term: term, Verdicts: t.verdicts.List(now), Watched: t.ledger.Watched(now), Blamed: t.ledger.BlamedParts(now),
	}
	if term != 0 {
		v.Trials = t.verdicts.TakeTrials(now, r.Verdicts)
	}
	return v
}

func formatSuspect(suspect uint64) string {
	return strconv.FormatUint(suspect, 16)
}
