package inbound

const (
	// budgetShare is the part of a process's memory that it holds for its clients, at most. The rest is for the process itself, for
	// its connections and for what the garbage collector has not freed yet.
	budgetShare = 0.3

	connectionShare = 0.2      // of a process's memory, at most, for the connections of one listener
	connectionBytes = 16 << 10 // that a connection takes with its buffers and goroutine

	reservedDescriptors     = 200  // for files
	reservedDescriptorShare = 0.25 // of all descriptors, at most
)

// Limits are what a process may take in all.
type Limits struct {
	MemoryBytes int64 // 0 for no bound
	Descriptors int   // 0 for no bound
}

// NewBudget returns the budget of the process.
func (l Limits) NewBudget() *Budget {
	return &Budget{Bytes: int64(budgetShare * float64(l.MemoryBytes))}
}

// usableDescriptors returns the descriptors that are not reserved for files, if there is a bound.
func (l Limits) usableDescriptors() int {
	return l.Descriptors - min(reservedDescriptors, int(reservedDescriptorShare*float64(l.Descriptors)))
}

// MaxCalls returns the calls that may be in progress if connections to backend servers get a share of the descriptors that are not
// reserved for files; 0 for no bound.
func (l Limits) MaxCalls(share float64) int {
	if l.Descriptors == 0 {
		return 0
	}
	return max(1, int(share*float64(l.usableDescriptors())))
}

// MaxConnections returns the connections that a listener may have open if it gets a share of the descriptors that are not reserved for
// files; 0 for no bound.
func (l Limits) MaxConnections(share float64) int {
	out := l.MaxCalls(share)
	if l.MemoryBytes > 0 {
		byMemory := max(1, int(connectionShare*float64(l.MemoryBytes)/connectionBytes))
		if out == 0 || byMemory < out {
			out = byMemory
		}
	}
	return out
}
