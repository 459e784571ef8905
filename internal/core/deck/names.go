package deck

// A VMName identifies a VM of the system within a deployment.
type VMName string

// A DataCentre is the name of a data centre.
type DataCentre string

// A Region is the name of a region, which groups data centres.
type Region string

// A BackendName identifies a backend server: a model engine or a plain service instance.
type BackendName string

// A ModelName identifies a model.
type ModelName string

// An AdapterName identifies an adapter of a model.
type AdapterName string

// A VersionName identifies a version of a model's weights.
type VersionName string

// A SoftwareVersion identifies a version of a backend server's software, apart from the weights that it holds. It is empty if unknown.
type SoftwareVersion string

// A ServiceName identifies a plain service.
type ServiceName string

// A RequestID identifies one attempt at an engine; it is unique across VMs.
type RequestID string

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// Units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)
