package choose

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// SubsetSize is the number of engines whose reports a VM polls. 16 reports every 2 s stay within the limit on control
	// traffic.
	SubsetSize = 16
	// subsetPerModel is the number of polled engines that each model needs, so that a choice can compare two reports.
	subsetPerModel = 2
	// maxSubset bounds the polled engines if the models need more than SubsetSize. 24 reports of 0.25 KB every 2 s are
	// 3 KB/s of the 8 KB/s that a node may use.
	maxSubset = 24
)

// Subset returns the engines whose reports the VM polls, in the order of rendezvous hashing: two for each model that the VM
// serves, as far as maxSubset allows, and further ones up to SubsetSize. models lists the replicas of each model, most used
// model first.
func Subset(vm deck.VMName, engines []deck.BackendName, models [][]deck.BackendName) []deck.BackendName {
	taken := make(map[deck.BackendName]bool)
	add := func(names []deck.BackendName, bound int) {
		for _, b := range names {
			if len(taken) < bound {
				taken[b] = true
			}
		}
	}
	for _, replicas := range models {
		best := ranked(vm, replicas)
		add(best[:min(subsetPerModel, len(best))], maxSubset)
	}
	add(ranked(vm, engines), SubsetSize)
	return ranked(vm, slices.Collect(maps.Keys(taken)))
}

// ranked returns the distinct names in the VM's rendezvous order, highest rank first.
func ranked(vm deck.VMName, names []deck.BackendName) []deck.BackendName {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b deck.BackendName) int {
		return cmp.Or(cmp.Compare(rank(vm, b), rank(vm, a)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

func rank(vm deck.VMName, b deck.BackendName) uint64 {
	return xxhash.Sum64String(string(vm) + "\x00" + string(b))
}
