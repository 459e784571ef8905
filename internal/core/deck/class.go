package deck

// A Class is the service class of a request.
type Class int

// The service classes, most urgent first; the zero value is Interactive.
const (
	Interactive Class = iota
	Batch
)

// String returns the class's name as used in settings and headers.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}
