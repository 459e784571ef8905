package deck

import "time"

// A PlacementLease is the right to send operations to the engines of one data centre.
type PlacementLease struct {
	DataCentre   DataCentre
	Holder       VMName
	FencingToken uint64
	Expires      time.Time // by the holder's monotonic clock, shortened by the drift bound
}

// ValidAt reports whether the holder may still send an operation at the given time.
func (l PlacementLease) ValidAt(now time.Time) bool {
	return l.Holder != "" && now.Before(l.Expires)
}

// A LeaseSource provides the placement lease that this VM holds.
type LeaseSource interface {
	// Held returns the lease; ok is false if this VM does not hold it now.
	Held() (l PlacementLease, ok bool)
}

// A ModelReplica is a model version on one backend server.
type ModelReplica struct {
	Backend BackendName
	Version VersionName
	Ready   bool
}

// A Residency lists where models and adapters are loaded; it may lag behind the engines.
type Residency interface {
	// Replicas returns the known replicas of a model.
	Replicas(m ModelName) []ModelReplica

	// HasAdapter reports whether the backend server is believed to hold the adapter.
	HasAdapter(b BackendName, a AdapterName) bool
}
