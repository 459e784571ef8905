package process

import (
	"math"
	"runtime/debug"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/command/part"
)

// newLimits returns what the process may take in all. Its memory is that of the runtime's variable GOMEMLIMIT.
func newLimits() inbound.Limits {
	out := inbound.Limits{Descriptors: part.MaxDescriptors()}
	if memory := debug.SetMemoryLimit(-1); memory != math.MaxInt64 {
		out.MemoryBytes = memory
	}
	return out
}

// bodiesInMemory is the number of the largest allowed bodies for which there is always memory.
const bodiesInMemory = 8

// newMemory returns the memory for clients.
func newMemory(l inbound.Limits, maxBody int64) *inbound.Budget {
	out := l.NewBudget()
	out.Bytes = max(out.Size(), bodiesInMemory*maxBody)
	return out
}
