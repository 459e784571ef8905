package blame

import "time"

const (
	// provenTime is how long a part of a prompt is no suspect after a server wrote an answer on it.
	provenTime = 30 * time.Second

	// SuspiciousWriting is how long a server that crashes may have written an answer for its request to be still a suspect for the
	// parts of its prompt: these crash a server when it begins to write. A longer answer proves that they don't.
	SuspiciousWriting = 500 * time.Millisecond

	maxProofs       = 8192 // parts that are remembered before those of an earlier time are forgotten
	maxSuspectParts = 64   // of one prompt
)

// Proofs remember which parts of prompts servers have written answers on. The zero value is empty; it is not safe for concurrent use.
type Proofs struct {
	recent, earlier map[uint64]time.Time // by part
}

// Add records that a server has written an answer on a prompt with the part, for longer than SuspiciousWriting or to its end.
func (p *Proofs) Add(now time.Time, part uint64) {
	if p.recent == nil || len(p.recent) >= maxProofs {
		p.recent, p.earlier = make(map[uint64]time.Time), p.recent
	}
	p.recent[part] = now
}

// Contains reports whether the part was seen to be sound within provenTime.
func (p *Proofs) Contains(now time.Time, part uint64) bool {
	at, ok := p.last(part)
	return ok && now.Sub(at) <= provenTime
}

// ContainsAfter reports whether the part was seen to be sound after the given time.
func (p *Proofs) ContainsAfter(t time.Time, part uint64) bool {
	at, ok := p.last(part)
	return ok && at.After(t)
}

func (p *Proofs) last(part uint64) (at time.Time, ok bool) {
	if at, ok = p.recent[part]; !ok {
		at, ok = p.earlier[part]
	}
	return at, ok
}

// Unproven returns the parts that are not seen to be sound within provenTime, maxSuspectParts at most.
func (p *Proofs) Unproven(now time.Time, parts []uint64) []uint64 {
	var unproven []uint64
	for _, part := range parts {
		if len(unproven) < maxSuspectParts && !p.Contains(now, part) {
			unproven = append(unproven, part)
		}
	}
	return unproven
}
