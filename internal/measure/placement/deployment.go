package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A deployment describes the size and the demand of a measured system.
type deployment struct {
	name            string
	dataCentres     int
	engines         int
	models          int
	meanWeightGiB   float64       // mean size of a model's weights
	concurrentLoads int           // model loads that the weight store serves concurrently at full speed
	meanBurst       time.Duration // mean duration of a burst
	meanPause       time.Duration // mean time between a model's bursts
}

// deployments are those of section 1.6 of the design, and variants of them with hundreds of bursty models.
var deployments = []deployment{
	{"indexwerk", 3, 18, 35, 40, 9, 2 * time.Minute, 15 * time.Minute},
	{"manuals", 3, 12, 20, 45, 7, 2 * time.Minute, 15 * time.Minute},
	{"indexwerk-bursty", 3, 18, 300, 9, 9, 90 * time.Second, 20 * time.Minute},
	{"manuals-bursty", 3, 12, 200, 9, 7, 90 * time.Second, 20 * time.Minute},
}

// Properties of the simulated engines.
const (
	acceleratorsPerEngine      = 4
	acceleratorBytes           = 80 * deck.GiB
	acceleratorTokensPerSecond = 540.0
	engineTokensPerSecond      = acceleratorsPerEngine * acceleratorTokensPerSecond
	tokenGapSeconds            = 0.047 // longest time between tokens that a caller accepts
	streamTokensPerSecond      = 80.0  // of a single stream on an idle engine
	prefillSeconds             = 0.15  // from the start on an engine to the first token
	firstTokenLimitSeconds     = 1.0   // longest time to the first token that a caller accepts
	loadGiBPerSecond           = 8.0   // of weights
	meanAnswerTokens           = 150.0
)

func (d deployment) buildState(r *rand.Rand) deck.State {
	var t deck.Ticket
	for i := range d.engines {
		t.BackendServers = append(t.BackendServers, deck.BackendServer{
			Name:             deck.BackendName(fmt.Sprintf("engine-%03d", i)),
			DataCentre:       dataCentreName(i % d.dataCentres),
			Accelerators:     acceleratorsPerEngine,
			AcceleratorBytes: acceleratorBytes,
			ChecksFencing:    true,
		})
	}
	for i := range d.models {
		gib := d.meanWeightGiB * math.Exp(0.4*r.NormFloat64())
		weights := deck.Bytes(gib * float64(deck.GiB))
		t.Models = append(t.Models, deck.Model{
			Name:   deck.ModelName(fmt.Sprintf("model-%04d", i)),
			Active: "v1",
			Versions: []deck.ModelVersion{{
				Name: "v1", WeightBytes: weights, KVReserveBytes: weights / 4, TransientBytes: weights / 10,
			}},
		})
	}
	return deck.State{}.WithTicket(t, 1)
}

func dataCentreName(i int) deck.DataCentre {
	return deck.DataCentre(fmt.Sprintf("dc-%d", i))
}
