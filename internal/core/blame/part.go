package blame

import (
	"slices"
	"time"
)

const (
	minCrashes         = 3 // separate crashes from which a suspect is refused
	minPartRequests    = 2 // different requests without which a part of a prompt can't be told from the request that has it
	minWatchedCrashes  = minCrashes - 1
	simultaneousWindow = 250 * time.Millisecond // crashes within it have one cause outside the requests, such as a power failure
)

// A PartCrash is a crash of a backend server at which requests with a part of a prompt were in flight.
type PartCrash struct {
	At       time.Time
	Requests []uint64 // fingerprints of the requests
	Began    bool     // the server had begun to answer one of them

	LastSent time.Time // when the last of them was sent; zero if unknown
}

// IsPartBlamed reports whether the crashes show that the part crashes servers.
func IsPartBlamed(crashes []PartCrash) bool {
	return separateCrashes(crashes) >= minCrashes && soleCarriers(crashes) >= minPartRequests
}

// separateCrashes returns the number of crashes, of which simultaneous ones count as one. Crashes aren't simultaneous if a request was
// sent after the first of them, such as one that both interrupted.
func separateCrashes(crashes []PartCrash) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b PartCrash) int { return a.At.Compare(b.At) })
	n := 0
	var first time.Time // of the crashes that count as one
	var requests []uint64
	for _, c := range sorted {
		again := slices.ContainsFunc(c.Requests, func(r uint64) bool { return slices.Contains(requests, r) })
		if n == 0 || again || c.LastSent.After(first) || c.At.Sub(first) > simultaneousWindow {
			n++
			first, requests = c.At, nil
		}
		requests = append(requests, c.Requests...)
	}
	return n
}

// soleCarriers returns the number of requests that were the only one with the part at some crash. A request that merely ran beside
// another one with the same part says nothing about the part.
func soleCarriers(crashes []PartCrash) int {
	sole := make(map[uint64]bool)
	for _, c := range crashes {
		if len(c.Requests) == 1 {
			sole[c.Requests[0]] = true
		}
	}
	return len(sole)
}

// partStrength orders suspects: by the crashes at which a server had just begun to answer a request with the part, by all crashes and
// by the requests that were alone with the part.
func partStrength(crashes []PartCrash) [3]int {
	began := 0
	for _, c := range crashes {
		if c.Began {
			began++
		}
	}
	return [3]int{began, len(crashes), soleCarriers(crashes)}
}
