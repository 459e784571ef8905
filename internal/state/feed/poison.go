package feed

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A PoisonList looks up refused request digests in a store's PoisonPayload.
type PoisonList struct {
	store *Store
	clock deck.Clock

	mu      sync.Mutex
	version PayloadVersion
	expiry  map[string]time.Time
}

// NewPoisonList returns a list that follows the store's PoisonPayload.
func NewPoisonList(store *Store, clock deck.Clock) *PoisonList {
	return &PoisonList{store: store, clock: clock}
}

// IsRefused reports whether requests with the digest are currently refused.
func (l *PoisonList) IsRefused(digest string) bool {
	p, ok := l.store.Payload(PoisonPayload)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expiry == nil || l.version != p.Version {
		l.load(p)
	}
	expiry, ok := l.expiry[digest]
	return ok && l.clock.Now().Before(expiry)
}

func (l *PoisonList) load(p Payload) {
	var documents []poisonDocument
	if json.Unmarshal(p.Data, &documents) != nil {
		documents = nil
	}
	l.version, l.expiry = p.Version, make(map[string]time.Time, len(documents))
	for _, d := range documents {
		l.expiry[d.Digest] = time.UnixMilli(d.UntilMS)
	}
}
