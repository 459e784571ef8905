package deck

import (
	"maps"
	"slices"
)

// A State is the immutable set of objects in force at one version; its zero value is the empty state.
type State struct {
	version  uint64
	models   map[ModelName]Model
	adapters map[AdapterName]Adapter
	backends map[BackendName]BackendServer
	services map[ServiceName]Service
}

// Adapter returns the adapter with the given name.
func (s State) Adapter(name AdapterName) (Adapter, bool) {
	a, ok := s.adapters[name]
	return a, ok
}

// Adapters returns all adapters ordered by name.
func (s State) Adapters() []Adapter {
	return sortedByKey(s.adapters)
}

// BackendServer returns the backend server with the given name.
func (s State) BackendServer(name BackendName) (BackendServer, bool) {
	b, ok := s.backends[name]
	return b, ok
}

// BackendServers returns all backend servers ordered by name.
func (s State) BackendServers() []BackendServer {
	return sortedByKey(s.backends)
}

// Model returns the model with the given name.
func (s State) Model(name ModelName) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Models returns all models ordered by name.
func (s State) Models() []Model {
	return sortedByKey(s.models)
}

// Service returns the plain service with the given name.
func (s State) Service(name ServiceName) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all plain services ordered by name.
func (s State) Services() []Service {
	return sortedByKey(s.services)
}

// Version returns the state version, the log index of the last accepted ticket.
func (s State) Version() uint64 {
	return s.version
}

// WithTicket returns the state after the ticket's objects replaced those of the same name, at the given version.
func (s State) WithTicket(t Ticket, version uint64) State {
	n := State{
		version:  version,
		models:   cloneMap(s.models),
		adapters: cloneMap(s.adapters),
		backends: cloneMap(s.backends),
		services: cloneMap(s.services),
	}
	for _, m := range t.Models {
		setOrDelete(n.models, m.Name, m, m.Absent)
	}
	for _, a := range t.Adapters {
		setOrDelete(n.adapters, a.Name, a, a.Absent)
	}
	for _, b := range t.BackendServers {
		setOrDelete(n.backends, b.Name, b, b.Absent)
	}
	for _, v := range t.Services {
		setOrDelete(n.services, v.Name, v, v.Absent)
	}
	return n
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func setOrDelete[K comparable, V any](m map[K]V, k K, v V, absent bool) {
	if absent {
		delete(m, k)
		return
	}
	m[k] = v
}

func sortedByKey[K ~string, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
