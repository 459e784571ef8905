package memory

import (
	"cmp"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An Item is something that occupies an engine's memory: a model version, or an adapter if Adapter is set.
type Item struct {
	Model   deck.ModelName
	Version deck.VersionName
	Adapter deck.AdapterName
}

// ItemOf returns the item that the operation loads or unloads, which is the zero Item for fences and role changes.
func ItemOf(op deck.Operation) Item {
	switch op.Kind {
	case deck.OpLoadModel, deck.OpUnloadModel:
		return Item{Model: op.Model, Version: op.Version}
	case deck.OpLoadAdapter, deck.OpUnloadAdapter:
		return Item{Adapter: op.Adapter}
	default:
		return Item{}
	}
}

// A Sizer returns the declared resident memory of an item, or 0 if it is unknown.
type Sizer func(Item) deck.Bytes

func reportedItems(r deck.EngineReport) map[Item]deck.ResidentModel {
	m := make(map[Item]deck.ResidentModel, len(r.Models)+len(r.Adapters))
	for _, v := range r.Models {
		m[Item{Model: v.Model, Version: v.Version}] = v
	}
	for _, a := range r.Adapters {
		m[Item{Adapter: a}] = deck.ResidentModel{Ready: true}
	}
	return m
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}
