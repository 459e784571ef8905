package order

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// continuedTTL is how long a model is needed after an entry VM has asked for it. The VM asks again while an interrupted stream waits.
const continuedTTL = 2500 * time.Millisecond

// A continuedKey identifies a model that interrupted streams of a service need.
type continuedKey struct {
	model    deck.ModelName
	software deck.SoftwareVersion
}

// A continuedRequest is the last request for such a model.
type continuedRequest struct {
	assign.Continued
	at time.Time
}

// A continuedModels holds the models that interrupted streams of a service need. It is immutable.
type continuedModels map[continuedKey]continuedRequest

// with returns a copy that holds the model as requested at the given time, without those that are no longer needed.
func (m continuedModels) with(now time.Time, c assign.Continued) continuedModels {
	out := make(continuedModels, len(m)+1)
	for key, r := range m {
		if now.Sub(r.at) <= continuedTTL {
			out[key] = r
		}
	}
	out[continuedKey{c.Model, c.Software}] = continuedRequest{c, now}
	return out
}

// at returns the models that are needed at the given time.
func (m continuedModels) at(now time.Time) []assign.Continued {
	var needed []assign.Continued
	for _, r := range m {
		if now.Sub(r.at) <= continuedTTL {
			needed = append(needed, r.Continued)
		}
	}
	slices.SortFunc(needed, assign.Continued.Compare)
	return needed
}
