package deck

import (
	"context"
	"time"
)

// A Placement is the answer to a request for a model or adapter on an engine.
type Placement struct {
	Server  BackendName   // the engine that holds it now; empty if none does yet
	ReadyIn time.Duration // estimated time until an engine holds it; 0 if unknown
}

// A Placer places models and adapters on engines on demand.
type Placer interface {
	// Place requests a model, or an adapter of it, on an engine. It returns what is known at once, or waits for the short load of
	// an adapter.
	Place(ctx context.Context, s ServiceName, m ModelName, a AdapterName) (Placement, error)
}
