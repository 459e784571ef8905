package deck

import (
	"context"
	"slices"
	"time"
)

// A Placement is the answer to a request for a model or adapter on an engine.
type Placement struct {
	Server  BackendName   // the engine that holds it now; empty if none does yet
	ReadyIn time.Duration // estimated time until an engine holds it; 0 if unknown
}

// A PlacementRequest asks for a model, or an adapter of it, on an engine.
type PlacementRequest struct {
	Service ServiceName
	Model   ModelName
	Adapter AdapterName // empty for the model itself

	// Continued is the origin of the stream that needs the model, which only engines of its software version can continue; nil for a call
	// that any engine can run.
	Continued *StreamOrigin

	// Unusable are engines of that software version that the requesting VM can't use now, although they may be listed.
	Unusable []BackendName
}

// Allows reports whether the engine can run the call that needs the model, as far as that does not depend on its models.
func (r PlacementRequest) Allows(s Server) bool {
	return s.Service == r.Service && !s.Draining && (r.Continued == nil || r.Continued.Software == s.Software) &&
		!slices.Contains(r.Unusable, s.ID)
}

// A Placer places models and adapters on engines on demand.
type Placer interface {
	// Place requests a model, or an adapter of it, on an engine. It returns what is known at once, or waits for the short load of
	// an adapter.
	Place(ctx context.Context, r PlacementRequest) (Placement, error)
}
