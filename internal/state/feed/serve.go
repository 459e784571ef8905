package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// MaxPollWait limits how long a source holds a poll.
const MaxPollWait = 2 * time.Second

// Serve answers a poll: at once if there is something new for the polling VM, otherwise after the request's wait time or when
// the proof becomes older than MaxProofAge, upon which the polling VM fails over to another source.
func (s *Store) Serve(ctx context.Context, r Request) Response {
	start := s.clock.Now()
	s.recordConfirmations(start, r)
	timer := time.NewTimer(min(r.Wait, MaxPollWait, s.untilMaxProofAge(start)))
	defer timer.Stop()
	for {
		response, updates := s.response(start, r)
		if response.hasUpdates() || r.Wait <= 0 {
			return response
		}
		select {
		case <-updates:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		response, _ = s.response(start, r)
		return response
	}
}

// untilMaxProofAge returns the time until the proof is older than MaxProofAge, or MaxPollWait if there is no proof.
func (s *Store) untilMaxProofAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.proven {
		return MaxPollWait
	}
	return max(s.provenAt.Add(MaxProofAge+time.Millisecond).Sub(now), 0)
}

func (r Response) hasUpdates() bool {
	return len(r.Deltas) > 0 || r.State != nil || len(r.Payloads) > 0 || r.PayloadsDiffer
}

// response returns what is new for the request, and a channel that is closed at the next update. ProofAge and HoldTime are
// measured at the same instant because the polling VM subtracts one from the other.
func (s *Store) response(start time.Time, r Request) (Response, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	resp := Response{Version: s.state.Version(), Proven: s.proven, HoldTime: now.Sub(start)}
	if s.proven {
		resp.ProofAge = now.Sub(s.provenAt)
	}
	if r.After < s.state.Version() {
		resp.Deltas, resp.State = s.changesAfter(r.After)
	}
	if r.Digest != 0 {
		resp.PayloadsDiffer = r.Digest != s.payloadDigestLocked(r.DataCentre)
		return resp, s.updates
	}
	for _, p := range s.payloads {
		if p.DataCentre != "" && p.DataCentre != r.DataCentre {
			continue
		}
		if have, ok := r.Payloads[p.Name]; !ok || have.Less(p.Version) {
			resp.Payloads = append(resp.Payloads, p)
		}
	}
	return resp, s.updates
}

// changesAfter returns the deltas after a version, or the whole state if the deltas do not reach back to it.
func (s *Store) changesAfter(version uint64) ([]Delta, *deck.State) {
	for i, d := range s.deltas {
		if d.Previous == version {
			return append([]Delta(nil), s.deltas[i:]...), nil
		}
	}
	state := s.state
	return nil, &state
}

// payloadDigestLocked returns the digest of the payload versions that the VMs of a data centre receive. A poll that
// listed the residency version of each data centre instead would be three times as long. The caller holds s.mu.
func (s *Store) payloadDigestLocked(dc deck.DataCentre) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(s.payloads)) {
		p := s.payloads[name]
		if p.DataCentre != "" && p.DataCentre != dc {
			continue
		}
		_, _ = fmt.Fprintf(h, "%s\x00%d\x00%d\x00", name, p.Version.Epoch, p.Version.Sequence) // never fails
	}
	return max(h.Sum64(), 1) // 0 means no digest
}

// payloadDigest returns the digest of the payload versions that the VMs of a data centre receive.
func (s *Store) payloadDigest(dc deck.DataCentre) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.payloadDigestLocked(dc)
}
