package choose

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

// maxHints bounds the memory for a backend server's hints to about 256 KB.
const maxHints = 8192

// A PrefixHints records which prompt prefixes backend servers probably have cached. The zero value is empty.
type PrefixHints struct {
	servers map[deck.BackendName]*prefixSet
}

// A prefixSet is a set of prefix hashes that drops the oldest when it is full.
type prefixSet struct {
	members map[uint64]struct{}
	ring    []uint64
	next    int
}

// Observe applies the cache events of a backend server. A gap in the events invalidates earlier hints.
func (h *PrefixHints) Observe(b deck.BackendName, ev deck.CacheEvents) {
	if ev.Gap {
		h.Forget(b)
	}
	s := h.serverSet(b)
	for _, e := range ev.Events {
		if e.Evicted {
			delete(s.members, e.Prefix)
		} else {
			s.add(e.Prefix)
		}
	}
}

// RecordPrompt records that a prompt with the prefixes was sent to the backend server.
func (h *PrefixHints) RecordPrompt(b deck.BackendName, prefixes []uint64) {
	s := h.serverSet(b)
	for _, p := range prefixes {
		s.add(p)
	}
}

// Forget drops the hints of a backend server, for instance after a restart.
func (h *PrefixHints) Forget(b deck.BackendName) {
	delete(h.servers, b)
}

// Hit returns the share of the prefixes, counted from the first up to the first gap, that the backend server probably has
// cached.
func (h *PrefixHints) Hit(b deck.BackendName, prefixes []uint64) float64 {
	s := h.servers[b]
	if s == nil || len(prefixes) == 0 {
		return 0
	}
	n := 0
	for _, p := range prefixes {
		if _, ok := s.members[p]; !ok {
			break
		}
		n++
	}
	return float64(n) / float64(len(prefixes))
}

func (h *PrefixHints) serverSet(b deck.BackendName) *prefixSet {
	if h.servers == nil {
		h.servers = make(map[deck.BackendName]*prefixSet)
	}
	s := h.servers[b]
	if s == nil {
		s = &prefixSet{members: make(map[uint64]struct{})}
		h.servers[b] = s
	}
	return s
}

func (s *prefixSet) add(p uint64) {
	if _, ok := s.members[p]; ok {
		return
	}
	s.members[p] = struct{}{}
	if len(s.ring) < maxHints {
		s.ring = append(s.ring, p)
		return
	}
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = p
	s.next = (s.next + 1) % maxHints
}
