package deck

import (
	"context"
	"time"
)

// A Placement is the answer to a request for a model or adapter on an engine.
type Placement struct {
	Server  BackendName   // the engine that holds it now; empty if none does yet
	ReadyIn time.Duration // estimate for when an engine will hold it; 0 if unknown
}

// A Placer puts models and adapters on engines on demand.
type Placer interface {
	// Place asks for a model, or an adapter of it, and returns what is known at once or within a short adapter load.
	Place(ctx context.Context, s ServiceName, m ModelName, a AdapterName) (Placement, error)
}
