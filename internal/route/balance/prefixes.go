package balance

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxPrefixes bounds the remembered parts; an engine keeps some hundred.
const maxPrefixes = 4096

// prefixes remember which engine last read a shared part of a prompt for a model; the zero value knows none.
type prefixes struct {
	engine map[prefixKey]deck.BackendName
}

type prefixKey struct {
	model   deck.ModelName
	adapter deck.AdapterName
	part    string
}

// shared returns the last part of a prompt that other requests may share; the very last part is the request's own.
func shared(w Want) (prefixKey, bool) {
	if len(w.Parts) < 2 {
		return prefixKey{}, false
	}
	return prefixKey{w.Model, w.Adapter, w.Parts[len(w.Parts)-2].ID}, true
}

func (p *prefixes) gain(id deck.BackendName, w Want) float64 {
	key, ok := shared(w)
	if ok && p.engine[key] == id {
		return prefixGain
	}
	return 0
}

// SentPrompt notes that an engine reads the parts of a call's prompt.
func (b *Book) SentPrompt(id deck.BackendName, w Want) {
	key, ok := shared(w)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.prefix.engine) >= maxPrefixes || b.prefix.engine == nil {
		b.prefix.engine = make(map[prefixKey]deck.BackendName)
	}
	b.prefix.engine[key] = id
}
