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

type residentModel struct {
	ready     bool
	bytes     deck.Bytes
	transient deck.Bytes // additional memory while loading
}

// state is what an emulated engine process holds and loses in a crash.
type state struct {
	models       map[modelKey]residentModel
	adapters     map[deck.AdapterName]deck.Bytes
	fencingToken uint64
	role         deck.EngineRole
	applied      map[deck.OperationID]bool
	appliedOrder []deck.OperationID
}

func newState() state {
	return state{
		models:   make(map[modelKey]residentModel),
		adapters: make(map[deck.AdapterName]deck.Bytes),
		applied:  make(map[deck.OperationID]bool),
	}
}

// hasModel reports whether the model is ready in the given version, or in any version if version is empty.
func (s state) hasModel(model deck.ModelName, version deck.VersionName) bool {
	for k, r := range s.models {
		if r.ready && k.model == model && (version == "" || version == k.version) {
			return true
		}
	}
	return false
}

func (s state) residentModels() []deck.ResidentModel {
	out := make([]deck.ResidentModel, 0, len(s.models))
	for k, r := range s.models {
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

func (s state) adapterNames() []deck.AdapterName {
	return slices.Sorted(maps.Keys(s.adapters))
}

func (s state) usedBytes() deck.Bytes {
	var n deck.Bytes
	for _, r := range s.models {
		n += r.bytes + r.transient
	}
	for _, b := range s.adapters {
		n += b
	}
	return n
}
