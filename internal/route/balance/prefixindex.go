package balance

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxPrefixes bounds the remembered parts; an engine keeps some hundred.
const maxPrefixes = 4096

// prefixIndex remember which engine last read a shared part of a prompt for a model; the zero value knows none.
type prefixIndex struct {
	engines map[prefixKey]deck.BackendName
}

type prefixKey struct {
	model   deck.ModelName
	adapter deck.AdapterName
	partID  string
}

// sharedPrefix returns the last part of a prompt that other requests may share; the very last part is the request's own.
func sharedPrefix(w Want) (prefixKey, bool) {
	if len(w.Parts) < 2 {
		return prefixKey{}, false
	}
	return prefixKey{w.Model, w.Adapter, w.Parts[len(w.Parts)-2].ID}, true
}

func (p *prefixIndex) discount(id deck.BackendName, w Want) float64 {
	key, ok := sharedPrefix(w)
	if ok && p.engines[key] == id {
		return prefixDiscount
	}
	return 0
}

// SentPrompt notes that an engine reads the parts of a call's prompt.
func (b *Book) SentPrompt(id deck.BackendName, w Want) {
	key, ok := sharedPrefix(w)
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
