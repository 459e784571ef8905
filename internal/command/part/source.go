package part

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
)

// NewSource returns a random source with a random seed, so that processes draw different numbers.
func NewSource() rand.Source {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // never fails
	return rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))
}
