package attempt

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// objectionInterval is the least time between two reports that a part of prompts is sound.
const objectionInterval = 5 * time.Second

// PromptParts finds the parts of prompts that crash backend servers by what this VM observes, and corrects the verdicts of all VMs. Its
// zero value needs a clock.
type PromptParts struct {
	Clock deck.Clock

	mu       sync.Mutex
	ledger   blame.Ledger
	proofs   blame.Proofs
	reported map[uint64]bool      // parts reported as suspects, without a proof since
	objected map[uint64]time.Time // when a part was last reported as sound
}

// RecordCrash records a crash of a backend server process that interrupted the request. It returns the parts that may be to blame.
func (p *PromptParts) RecordCrash(info deck.RequestInfo, b deck.BackendName, bootID string) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	suspects := p.proofs.Unproven(now, info.Parts)
	p.ledger.Record(now, deck.Crash{
		RequestFingerprint: blame.Fingerprint(info.Digest), Server: b + "/" + deck.BackendName(bootID), Parts: suspects, Began: true,
	})
	if p.reported == nil || len(p.reported) >= maxSuspects {
		p.reported = make(map[uint64]bool)
	}
	for _, part := range suspects {
		p.reported[part] = true
	}
	return suspects
}

// RecordSound records that a backend server has written an answer on a prompt with the parts. It returns those that were reported as
// suspects.
func (p *PromptParts) RecordSound(parts []uint64) (cleared []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, part := range parts {
		p.proofs.Add(now, part)
		if p.reported[part] {
			delete(p.reported, part)
			p.ledger.Clear(now, part)
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// Judge reports whether requests with the part are refused. others says that the VMs have found it to crash backend servers; if this
// one has seen it to be sound recently, objects tells the caller to report that.
func (p *PromptParts) Judge(part uint64, others bool) (refused, objects bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if !p.proofs.Contains(now, part) {
		return others || p.ledger.BlamesPart(part), false
	}
	if !others || now.Sub(p.objected[part]) < objectionInterval {
		return false, false
	}
	if p.objected == nil || len(p.objected) >= maxSuspects {
		p.objected = make(map[uint64]time.Time)
	}
	p.objected[part] = now
	return false, true
}
