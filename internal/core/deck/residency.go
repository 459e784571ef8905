package deck

import (
	"maps"
	"slices"
)

// A ResidencyTable is an immutable Residency of one data centre; its zero value lists nothing.
type ResidencyTable struct {
	version  uint64
	replicas map[ModelName][]ModelReplica
	adapters map[BackendName][]AdapterName
}

var _ Residency = ResidencyTable{}

// NewResidencyTable returns a table with copies of the given rows; the version of a data centre's table never decreases.
func NewResidencyTable(
	version uint64, replicas map[ModelName][]ModelReplica, adapters map[BackendName][]AdapterName,
) ResidencyTable {
	t := ResidencyTable{
		version:  version,
		replicas: make(map[ModelName][]ModelReplica, len(replicas)),
		adapters: make(map[BackendName][]AdapterName, len(adapters)),
	}
	for m, rs := range replicas {
		t.replicas[m] = slices.Clone(rs)
	}
	for b, as := range adapters {
		t.adapters[b] = slices.Sorted(slices.Values(as))
	}
	return t
}

// AdaptersOn returns the adapters that the backend server is believed to hold, ordered by name.
func (t ResidencyTable) AdaptersOn(b BackendName) []AdapterName {
	return slices.Clone(t.adapters[b])
}

// Backends returns the backend servers that hold adapters, ordered by name.
func (t ResidencyTable) Backends() []BackendName {
	return slices.Sorted(maps.Keys(t.adapters))
}

// HasAdapter implements Residency.HasAdapter.
func (t ResidencyTable) HasAdapter(b BackendName, a AdapterName) bool {
	_, ok := slices.BinarySearch(t.adapters[b], a)
	return ok
}

// Models returns the models with at least one known replica, ordered by name.
func (t ResidencyTable) Models() []ModelName {
	return slices.Sorted(maps.Keys(t.replicas))
}

// Replicas implements Residency.Replicas.
func (t ResidencyTable) Replicas(m ModelName) []ModelReplica {
	return slices.Clone(t.replicas[m])
}

// SameRows reports whether both tables list the same replicas and adapters, regardless of their versions.
func (t ResidencyTable) SameRows(o ResidencyTable) bool {
	return maps.EqualFunc(t.replicas, o.replicas, slices.Equal[[]ModelReplica]) &&
		maps.EqualFunc(t.adapters, o.adapters, slices.Equal[[]AdapterName])
}

// Version returns the table's version number.
func (t ResidencyTable) Version() uint64 {
	return t.version
}

// WithVersion returns the same rows under another version number.
func (t ResidencyTable) WithVersion(version uint64) ResidencyTable {
	t.version = version
	return t
}
