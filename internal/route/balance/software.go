package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// softwareHistoryLength is how long a software version is kept after the last server with it has left the list: longer than any stream
// that such a server began may be resumed.
const softwareHistoryLength = 10 * time.Minute

// A softwareHistory holds when the list last had a server of each origin; its zero value is empty.
type softwareHistory struct {
	listedAt map[deck.StreamOrigin]time.Time
}

// record records the listed servers.
func (h *softwareHistory) record(now time.Time, servers map[deck.BackendName]*serverState) {
	if h.listedAt == nil {
		h.listedAt = make(map[deck.StreamOrigin]time.Time)
	}
	for _, s := range servers {
		h.listedAt[deck.StreamOrigin{Service: s.Service, Software: s.Software}] = now
	}
	maps.DeleteFunc(h.listedAt, func(_ deck.StreamOrigin, at time.Time) bool { return now.Sub(at) > softwareHistoryLength })
}

// RecentSoftware returns the software versions of the service's servers that are in the list, or were within the given time.
func (b *Balancer) RecentSoftware(now time.Time, s deck.ServiceName, within time.Duration) []deck.SoftwareVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []deck.SoftwareVersion
	for _, listed := range b.byService[s] {
		out = append(out, listed.Software)
	}
	for origin, at := range b.software.listedAt {
		if origin.Service == s && now.Sub(at) <= within {
			out = append(out, origin.Software)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Unusable returns the listed servers of the origin that take no calls of this VM now, whatever they hold.
func (b *Balancer) Unusable(now time.Time, o deck.StreamOrigin) []deck.BackendName {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []deck.BackendName
	for _, s := range b.byService[o.Service] {
		if s.Software == o.Software && b.eligibility(now, s, Requirements{Service: o.Service}, 0) == NoServer {
			out = append(out, s.ID)
		}
	}
	return out
}
