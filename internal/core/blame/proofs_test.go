package blame

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProofs guards against proofs of shared parts that are lost to prompts with many parts of their own, and against a crashing part
// that is overlooked behind many others.
func TestProofs(t *testing.T) {
	is := is.New(t)
	var p Proofs
	now := time.Unix(1000, 0)
	const shared, unknown = 1, 2
	var parts []uint64
	p.Add(now, shared)
	for i := range uint64(maxProofs + 1) {
		p.Add(now, 100+i)
		parts = append(parts, 100+i)
	}
	is.True(p.Contains(now, shared))
	is.Equal(p.Unproven(now, append(parts, shared, unknown)), []uint64{unknown})
	is.True(!p.Contains(now.Add(2*provenTime), shared))
	is.Equal(len(p.Unproven(now.Add(2*provenTime), parts)), maxSuspectParts)
}
