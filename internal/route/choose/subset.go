package choose

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// SubsetSize is the number of engines whose reports a VM polls; 16 reports every 2 s stay within the control bytes.
	SubsetSize = 16
	// subsetPerModel is the least number of watched engines for a model, so that its choice compares two reports.
	subsetPerModel = 2
)

// Subset returns the engines whose reports the VM polls, ordered by rendezvous hash, at least two for each model's list
// where it has them; models may therefore exceed SubsetSize.
func Subset(vm deck.VMName, engines []deck.BackendName, models [][]deck.BackendName) []deck.BackendName {
	taken := make(map[deck.BackendName]bool)
	var out []deck.BackendName
	for _, replicas := range models {
		for _, b := range ranked(vm, replicas)[:min(subsetPerModel, len(replicas))] {
			if !taken[b] {
				taken[b] = true
				out = append(out, b)
			}
		}
	}
	for _, b := range ranked(vm, engines) {
		if len(out) >= SubsetSize {
			break
		}
		if !taken[b] {
			taken[b] = true
			out = append(out, b)
		}
	}
	return ranked(vm, out)
}

// ranked returns the names in the VM's rendezvous order.
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
