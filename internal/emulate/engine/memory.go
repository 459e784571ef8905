package engine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

type modelKey struct {
	model   deck.ModelName
	version deck.VersionName
}

type resident struct {
	ready     bool
	bytes     deck.Bytes
	transient deck.Bytes // while loading
}

// memory is what an emulated engine holds.
type memory struct {
	models   map[modelKey]resident
	adapters map[deck.AdapterName]deck.Bytes
	token    uint64
	role     deck.EngineRole
	seen     map[deck.OperationID]bool
	order    []deck.OperationID
}

func newMemory() memory {
	return memory{
		models:   make(map[modelKey]resident),
		adapters: make(map[deck.AdapterName]deck.Bytes),
		seen:     make(map[deck.OperationID]bool),
	}
}

// has reports whether the model is ready in the wanted version, or in any version if none is named.
func (m memory) has(model deck.ModelName, version deck.VersionName) bool {
	for k, r := range m.models {
		if r.ready && k.model == model && (version == "" || version == k.version) {
			return true
		}
	}
	return false
}

func (m memory) list() []deck.ResidentModel {
	out := make([]deck.ResidentModel, 0, len(m.models))
	for k, r := range m.models {
		out = append(out, deck.ResidentModel{Model: k.model, Version: k.version, Ready: r.ready, Bytes: r.bytes + r.transient})
	}
	slices.SortFunc(out, func(a, b deck.ResidentModel) int {
		if a.Model != b.Model {
			return cmp.Compare(a.Model, b.Model)
		}
		return cmp.Compare(a.Version, b.Version)
	})
	return out
}

func (m memory) adapterNames() []deck.AdapterName {
	return slices.Sorted(maps.Keys(m.adapters))
}

func (m memory) used() deck.Bytes {
	var n deck.Bytes
	for _, r := range m.models {
		n += r.bytes + r.transient
	}
	for _, b := range m.adapters {
		n += b
	}
	return n
}
