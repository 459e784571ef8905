package deck

// A ModelVersion is one version of a model's weights with its memory requirements.
type ModelVersion struct {
	Name            VersionName
	WeightBytes     Bytes // resident weights, over all accelerators of an engine
	KVReserveBytes  Bytes // KV cache reserved while the version is loaded
	TransientBytes  Bytes // additional memory while the version is being loaded
	KVBytesPerToken Bytes // KV cache of one token, for export and import costs
}

// ResidentBytes returns the memory that the version occupies once it is loaded.
func (v ModelVersion) ResidentBytes() Bytes {
	return v.WeightBytes + v.KVReserveBytes
}

// A Model is a model as an accepted ticket declares it.
type Model struct {
	Name        ModelName
	Class       Class
	Active      VersionName // the version that serves new requests
	Versions    []ModelVersion
	MinReplicas int  // replicas to keep in each home data centre; 0 means 1
	Absent      bool // the ticket removes the model
}

// ActiveVersion returns the version that serves new requests; ok is false if the model does not list it.
func (m Model) ActiveVersion() (v ModelVersion, ok bool) {
	return m.Version(m.Active)
}

// Version returns the version with the given name.
func (m Model) Version(name VersionName) (v ModelVersion, ok bool) {
	for _, v := range m.Versions {
		if v.Name == name {
			return v, true
		}
	}
	return ModelVersion{}, false
}

// An Adapter is an adapter of a model as an accepted ticket declares it.
type Adapter struct {
	Name   AdapterName
	Model  ModelName
	Bytes  Bytes
	Absent bool // the ticket removes the adapter
}
