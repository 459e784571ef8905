package balance

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxPrefixes bounds the index. An engine caches some hundred prefixes.
const maxPrefixes = 4096

// A prefixIndex maps shared prompt prefixes to the engine that processed each last. The zero value is empty.
type prefixIndex struct {
	engines map[prefixKey]deck.BackendName
}

type prefixKey struct {
	model   deck.ModelName
	adapter deck.AdapterName
	partID  string
}

// sharedPrefix returns the key of the longest prefix that other requests may share: all parts but the last, which is the
// request's own.
func sharedPrefix(req Requirements) (prefixKey, bool) {
	if len(req.PromptParts) < 2 {
		return prefixKey{}, false
	}
	return prefixKey{req.Model, req.Adapter, req.PromptParts[len(req.PromptParts)-2].ID}, true
}

func (p *prefixIndex) discount(id deck.BackendName, req Requirements) float64 {
	key, ok := sharedPrefix(req)
	if ok && p.engines[key] == id {
		return prefixDiscount
	}
	return 0
}

// RecordPrompt records that the engine processes the call's prompt, and so probably caches its shared prefix.
func (b *Balancer) RecordPrompt(id deck.BackendName, req Requirements) {
	key, ok := sharedPrefix(req)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.prefixOwners.engines) >= maxPrefixes || b.prefixOwners.engines == nil {
		b.prefixOwners.engines = make(map[prefixKey]deck.BackendName)
	}
	b.prefixOwners.engines[key] = id
}
