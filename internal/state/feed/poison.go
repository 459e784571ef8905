package feed

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A PoisonList reads the refused request digests from a store.
type PoisonList struct {
	store *Store
	clock deck.Clock

	mu      sync.Mutex
	version PayloadVersion
	until   map[string]time.Time
}

// NewPoisonList returns a list that follows the store.
func NewPoisonList(store *Store, clock deck.Clock) *PoisonList {
	return &PoisonList{store: store, clock: clock}
}

// Refused reports whether requests with the digest are refused now.
func (l *PoisonList) Refused(digest string) bool {
	p, ok := l.store.Payload(PoisonPayload)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil || l.version != p.Version {
		l.read(p)
	}
	until, ok := l.until[digest]
	return ok && l.clock.Now().Before(until)
}

func (l *PoisonList) read(p Payload) {
	var rows []poisonDocument
	if json.Unmarshal(p.Data, &rows) != nil {
		rows = nil
	}
	l.version, l.until = p.Version, make(map[string]time.Time, len(rows))
	for _, r := range rows {
		l.until[r.Digest] = time.UnixMilli(r.UntilMS)
	}
}
