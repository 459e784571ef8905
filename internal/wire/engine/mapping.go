package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Bounds of what a report may say, so that sums over requests, engines or models can't overflow.
const (
	maxCount = 1_000_000_000
	maxBytes = 1 << 56
)

// NewOperation returns the wire form of an operation.
func NewOperation(op deck.Operation) Operation {
	w := Operation{
		ID:             string(op.ID),
		Kind:           op.Kind.String(),
		FencingToken:   op.FencingToken,
		Model:          string(op.Model),
		Version:        string(op.Version),
		Adapter:        string(op.Adapter),
		WeightBytes:    int64(op.WeightBytes),
		ResidentBytes:  int64(op.ResidentBytes),
		TransientBytes: int64(op.TransientBytes),
	}
	if op.Kind == deck.OpSetRole {
		w.Role = op.Role.String()
	}
	if !op.NotAfter.IsZero() {
		t := op.NotAfter.UTC().Round(0)
		w.NotAfter = &t
	}
	return w
}

// Operation returns the domain form of the operation; an unknown kind or role, a missing ID or a negative size is an error.
func (w Operation) Operation() (deck.Operation, error) {
	kind, err := parseKind(w.Kind)
	if err != nil {
		return deck.Operation{}, err
	}
	role, err := parseRole(w.Role)
	if err != nil {
		return deck.Operation{}, err
	}
	if w.ID == "" {
		return deck.Operation{}, errors.New("operation: id is missing")
	}
	if w.WeightBytes < 0 || w.ResidentBytes < 0 || w.TransientBytes < 0 {
		return deck.Operation{}, errors.New("operation: a size is negative")
	}
	var notAfter time.Time
	if w.NotAfter != nil {
		notAfter = *w.NotAfter
	}
	return deck.Operation{
		ID:             deck.OperationID(w.ID),
		Kind:           kind,
		FencingToken:   w.FencingToken,
		NotAfter:       notAfter,
		Model:          deck.ModelName(w.Model),
		Version:        deck.VersionName(w.Version),
		Adapter:        deck.AdapterName(w.Adapter),
		Role:           role,
		WeightBytes:    deck.Bytes(w.WeightBytes),
		ResidentBytes:  deck.Bytes(w.ResidentBytes),
		TransientBytes: deck.Bytes(w.TransientBytes),
	}, nil
}

// NewReport returns the wire form of an engine report.
func NewReport(r deck.EngineReport) Report {
	w := Report{
		Backend:      string(r.Backend),
		BootID:       r.BootID,
		TakenAt:      r.TakenAt.UTC().Round(0),
		Running:      r.Running,
		Queued:       r.Queued,
		QueuedTokens: r.QueuedTokens,
		UsedBytes:    int64(r.UsedBytes),
		Adapters:     convertStrings[string](r.Adapters),
		Role:         r.Role.String(),
		Draining:     r.Draining,
		FencingToken: r.FencingToken,
		Operations:   convertStrings[string](r.Operations),
		Software:     string(r.Software),
	}
	for _, m := range r.Models {
		w.Models = append(w.Models, ResidentModel{string(m.Model), string(m.Version), m.Ready, int64(m.Bytes)})
	}
	return w
}

// EngineReport returns the domain form of the report; an unknown role, a missing boot ID or a number out of range is an error.
func (w Report) EngineReport() (deck.EngineReport, error) {
	role, err := parseRole(w.Role)
	if err != nil {
		return deck.EngineReport{}, err
	}
	if w.BootID == "" {
		return deck.EngineReport{}, errors.New("report: boot-id is missing")
	}
	for _, n := range []int{w.Running, w.Queued, w.QueuedTokens} {
		if n < 0 || n > maxCount {
			return deck.EngineReport{}, errors.Newf("report: a count is out of range: %d", n)
		}
	}
	if !isSize(w.UsedBytes) {
		return deck.EngineReport{}, errors.Newf("report: used-bytes is out of range: %d", w.UsedBytes)
	}
	r := deck.EngineReport{
		Backend:      deck.BackendName(w.Backend),
		BootID:       w.BootID,
		TakenAt:      w.TakenAt,
		Running:      w.Running,
		Queued:       w.Queued,
		QueuedTokens: w.QueuedTokens,
		UsedBytes:    deck.Bytes(w.UsedBytes),
		Adapters:     convertStrings[deck.AdapterName](w.Adapters),
		Role:         role,
		Draining:     w.Draining,
		FencingToken: w.FencingToken,
		Operations:   convertStrings[deck.OperationID](w.Operations),
		Software:     deck.SoftwareVersion(w.Software),
	}
	for _, m := range w.Models {
		if !isSize(m.Bytes) {
			return deck.EngineReport{}, errors.Newf("report: size of model %q is out of range: %d", m.Model, m.Bytes)
		}
		r.Models = append(r.Models, deck.ResidentModel{
			Model:   deck.ModelName(m.Model),
			Version: deck.VersionName(m.Version),
			Ready:   m.Ready,
			Bytes:   deck.Bytes(m.Bytes),
		})
	}
	return r, nil
}

func isSize(n int64) bool {
	return n >= 0 && n <= maxBytes
}

// NewCacheEvents returns the wire form of cache events.
func NewCacheEvents(c deck.CacheEvents) CacheEvents {
	w := CacheEvents{Events: make([]CacheEvent, 0, len(c.Events)), Last: c.LastSequence, Gap: c.Gap}
	for _, e := range c.Events {
		w.Events = append(w.Events, CacheEvent(e))
	}
	return w
}

// CacheEvents returns the domain form of the cache events.
func (w CacheEvents) CacheEvents() deck.CacheEvents {
	c := deck.CacheEvents{LastSequence: w.Last, Gap: w.Gap}
	for _, e := range w.Events {
		c.Events = append(c.Events, deck.CacheEvent(e))
	}
	return c
}

func parseKind(s string) (deck.OperationKind, error) {
	for k := deck.OpFence; k <= deck.OpSetRole; k++ {
		if k.String() == s {
			return k, nil
		}
	}
	return 0, errors.Newf("operation: unknown kind %q", s)
}

func parseRole(s string) (deck.EngineRole, error) {
	if s == "" {
		return deck.RoleMixed, nil
	}
	for r := deck.RoleMixed; r <= deck.RoleDecode; r++ {
		if r.String() == s {
			return r, nil
		}
	}
	return 0, errors.Newf("unknown role %q", s)
}

func convertStrings[T, F ~string](in []F) []T {
	if len(in) == 0 {
		return nil
	}
	out := make([]T, len(in))
	for i, v := range in {
		out[i] = T(v)
	}
	return out
}
