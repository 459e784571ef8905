package caller

import (
	"net/http"
	"slices"
	"strings"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters of the current state, sorted by ID, so that each model precedes its adapters.
func (h *Handler) serveModels(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, listModels(h.State.State()))
}

func listModels(s deck.State) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.Models() {
		list.add(string(m.Name))
	}
	for _, a := range s.Adapters() {
		if _, ok := s.Model(a.Model); ok {
			list.add(string(a.Model) + ":" + string(a.Name))
		}
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (l *modelList) add(id string) {
	l.Data = append(l.Data, modelEntry{ID: id, Object: "model", OwnedBy: "geraniumdeck"})
}
