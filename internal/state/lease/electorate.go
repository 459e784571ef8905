package lease

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// SelectVoters returns the voters of a data centre: all of its VMs and, if there are two, a witness in another data
// centre, of the same region where there is one.
func SelectVoters(dc deck.DataCentre, peers []deck.Peer) []deck.Peer {
	var own, others []deck.Peer
	for _, p := range peers {
		if p.DataCentre == dc {
			own = append(own, p)
		} else {
			others = append(others, p)
		}
	}
	slices.SortFunc(own, func(a, b deck.Peer) int { return cmp.Compare(a.Name, b.Name) })
	if len(own) != 2 || len(others) == 0 {
		return own
	}
	far := func(p deck.Peer) int {
		if p.Region == own[0].Region {
			return 0
		}
		return 1
	}
	witness := slices.MinFunc(others, func(a, b deck.Peer) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(hashWeight(dc, b.Name), hashWeight(dc, a.Name)))
	})
	return append(own, witness)
}

// rank returns a VM's place in the order in which the VMs of a data centre stand as candidates.
func rank(dc deck.DataCentre, self deck.VMName, peers []deck.Peer) int {
	place := 0
	for _, p := range peers {
		if p.DataCentre == dc && hashWeight(dc, p.Name) > hashWeight(dc, self) {
			place++
		}
	}
	return place
}

func hashWeight(dc deck.DataCentre, vm deck.VMName) uint64 {
	return xxhash.Sum64String(string(dc) + "\x00" + string(vm))
}

// Votes are the voters that one VM runs: that of its own data centre and those for which it is the witness.
type Votes struct {
	clock deck.Clock

	mu     sync.Mutex
	voters map[deck.DataCentre]*Voter
}

// NewVotes returns the voters that the VM runs among the given peers.
func NewVotes(self deck.VMName, peers []deck.Peer, clock deck.Clock, duration time.Duration) *Votes {
	v := &Votes{clock: clock, voters: make(map[deck.DataCentre]*Voter)}
	for _, p := range peers {
		isSelf := func(e deck.Peer) bool { return e.Name == self }
		if v.voters[p.DataCentre] == nil && slices.ContainsFunc(SelectVoters(p.DataCentre, peers), isSelf) {
			v.voters[p.DataCentre] = NewVoter(clock.Now(), duration)
		}
	}
	return v
}

// Handle answers a request now; a VM that is no voter for the data centre refuses.
func (v *Votes) Handle(r Request) Response {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	voter := v.voters[r.DataCentre]
	if voter == nil {
		return Response{Wall: now}
	}
	return voter.Handle(now, now, r)
}

// GrantDelay returns how long it takes until this VM's vote for a data centre may be granted to the given VM.
func (v *Votes) GrantDelay(dc deck.DataCentre, vm deck.VMName) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	voter := v.voters[dc]
	if voter == nil {
		return 0
	}
	return voter.GrantDelay(v.clock.Now(), vm)
}
