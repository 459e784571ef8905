package statemachine

import (
	"slices"
	"strconv"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/blame"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

const (
	// maxPoisonParts is how many parts of prompts the table holds; the one that expires first is removed beyond that.
	maxPoisonParts = 4096

	// partRetention is how long the crashes with a part are kept after it is no longer refused: the next crash refuses it again.
	partRetention = time.Hour
)

// A partHistory holds the crashes at which requests with a part of a prompt were in flight.
type partHistory struct {
	crashes   []partCrash
	expiresAt time.Time
}

type partCrash struct {
	id string // of the crashed process
	blame.PartCrash
}

func (h *partHistory) refused() bool {
	crashes := make([]blame.PartCrash, 0, len(h.crashes))
	for _, c := range h.crashes {
		crashes = append(crashes, c.PartCrash)
	}
	return blame.IsPartBlamed(crashes)
}

// add adds a request to the crash of the process with the given id.
func (h *partHistory) add(id string, at time.Time, request uint64) {
	for i := range h.crashes {
		c := &h.crashes[i]
		if c.id == id && !slices.Contains(c.Requests, request) {
			c.Requests = append(c.Requests, request)
		}
		if c.id == id {
			return
		}
	}
	if len(h.crashes) < maxCrashesPerDigest {
		h.crashes = append(h.crashes, partCrash{id, blame.PartCrash{At: at, Requests: []uint64{request}}})
	}
}

// recordPartCrash adds a crash to the histories of the parts of the request's prompt, and reports whether the refused parts or the
// expiry of one changed.
func (p *poisonTable) recordPartCrash(now time.Time, index uint64, c command.ReportCrash) (changed bool) {
	for part, h := range p.parts {
		if !now.Before(h.expiresAt.Add(partRetention)) {
			delete(p.parts, part)
		}
	}
	id := string(c.Backend) + "/" + c.BootID
	if c.BootID == "" {
		id += c.ReportID
	}
	for _, part := range c.Parts {
		h, ok := p.parts[part]
		if !ok {
			p.evictPart()
			h = &partHistory{}
			p.parts[part] = h
		}
		h.add(id, now, blame.Fingerprint(c.Digest))
		h.expiresAt = now.Add(PoisonTTL)
		changed = changed || h.refused()
	}
	if changed {
		p.changedIndex = index
	}
	return changed
}

// recordSound forgets the crashes with a part, and reports whether it was refused.
func (p *poisonTable) recordSound(now time.Time, index uint64, part uint64) (changed bool) {
	h, ok := p.parts[part]
	if !ok {
		return false
	}
	changed = h.refused() && now.Before(h.expiresAt)
	delete(p.parts, part)
	if changed {
		p.changedIndex = index
	}
	return changed
}

func (p *poisonTable) evictPart() {
	if len(p.parts) < maxPoisonParts {
		return
	}
	var victim uint64
	for part, h := range p.parts {
		v, ok := p.parts[victim]
		if !ok || h.expiresAt.Before(v.expiresAt) || h.expiresAt.Equal(v.expiresAt) && part < victim {
			victim = part
		}
	}
	delete(p.parts, victim)
}

// partDigest returns the name of a part among the refused digests.
func partDigest(part uint64) string {
	return "part-" + strconv.FormatUint(part, 16)
}
