package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A deployment is the size of a measured system.
type deployment struct {
	name    string
	centres int
	engines int
	models  int
	mean    float64 // weights of a model in GiB, on average
	loads   int     // concurrent loads of the weight store at full speed
	bursts  time.Duration
	rest    time.Duration // mean time between a model's bursts
}

// Sizes of section 1.6 of the design, and their variants with hundreds of bursty models.
var deployments = []deployment{
	{"indexwerk", 3, 18, 35, 40, 9, 2 * time.Minute, 15 * time.Minute},
	{"manuals", 3, 12, 20, 45, 7, 2 * time.Minute, 15 * time.Minute},
	{"indexwerk-bursty", 3, 18, 300, 9, 9, 90 * time.Second, 20 * time.Minute},
	{"manuals-bursty", 3, 12, 200, 9, 7, 90 * time.Second, 20 * time.Minute},
}

// Properties of the simulated engines.
const (
	accelerators     = 4
	acceleratorBytes = 80 * deck.GiB
	acceleratorRate  = 540.0 // tokens per second
	engineRate       = accelerators * acceleratorRate
	tokenTime        = 0.047 // seconds between tokens that a caller accepts
	streamRate       = 80.0  // tokens per second of one stream on an idle engine
	promptTime       = 0.15  // seconds from start to first token
	firstTokenTime   = 1.0   // seconds to the first token that a caller accepts
	loadRate         = 8.0   // GiB of weights per second
	meanTokens       = 150.0
)

func (d deployment) state(r *rand.Rand) deck.State {
	var t deck.Ticket
	for i := range d.engines {
		t.BackendServers = append(t.BackendServers, deck.BackendServer{
			Name:             deck.BackendName(fmt.Sprintf("engine-%03d", i)),
			DataCentre:       centre(i % d.centres),
			Accelerators:     accelerators,
			AcceleratorBytes: acceleratorBytes,
			ChecksFencing:    true,
		})
	}
	for i := range d.models {
		gib := d.mean * math.Exp(0.4*r.NormFloat64())
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

func centre(i int) deck.DataCentre {
	return deck.DataCentre(fmt.Sprintf("dc-%d", i))
}
