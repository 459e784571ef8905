package plan

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// fractionBits is the number of fractional bits of the logarithm in a rendezvous score. The arithmetic uses integers so that
// VMs with different processors compute the same homes.
const fractionBits = 16

// score returns the scaled rendezvous score -log2(hash)/weight; the data centre with the lowest score is preferred. With a
// uniform hash, data centres win in proportion to their weights.
func score(m deck.ModelName, dc deck.DataCentre, weight uint64) uint64 {
	if weight == 0 {
		return ^uint64(0)
	}
	h := xxhash.Sum64String(string(dc) + "\x00" + string(m))
	return (negLog2(h) << 40) / weight
}

// negLog2 returns -log2((h+1)/2^64) with fractionBits fractional bits, at most 64 << fractionBits.
func negLog2(h uint64) uint64 {
	h = max(h, 1)
	whole := uint64(bits.Len64(h) - 1)
	x := h << (63 - whole) // mantissa in [2^63, 2^64)
	var frac uint64
	for range fractionBits {
		hi, _ := bits.Mul64(x, x) // square of a mantissa in [1,2) is in [1,4)
		frac <<= 1
		if hi>>63 != 0 {
			frac |= 1
			x = hi
		} else {
			x = hi << 1
		}
	}
	return 64<<fractionBits - (whole<<fractionBits | frac)
}
