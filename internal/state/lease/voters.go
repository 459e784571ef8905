package lease

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// SelectVoters returns the voters of a data centre: all of its VMs and, if it has exactly two, a witness VM in another
// data centre, preferably in the same region.
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
	regionDistance := func(p deck.Peer) int {
		if p.Region == own[0].Region {
			return 0
		}
		return 1
	}
	witness := slices.MinFunc(others, func(a, b deck.Peer) int {
		return cmp.Or(cmp.Compare(regionDistance(a), regionDistance(b)), cmp.Compare(hashWeight(dc, b.Name), hashWeight(dc, a.Name)))
	})
	return append(own, witness)
}

// rank returns the number of VMs in the data centre that try to acquire the lease before the given VM.
func rank(dc deck.DataCentre, self deck.VMName, peers []deck.Peer) int {
	preceding := 0
	for _, p := range peers {
		if p.DataCentre == dc && hashWeight(dc, p.Name) > hashWeight(dc, self) {
			preceding++
		}
	}
	return preceding
}

// hashWeight returns a VM's rendezvous hashing weight for a data centre.
func hashWeight(dc deck.DataCentre, vm deck.VMName) uint64 {
	return xxhash.Sum64String(string(dc) + "\x00" + string(vm))
}

// LocalVoters is the set of voters that one VM runs: one for its own data centre and one for each data centre that it is the
// witness of.
type LocalVoters struct {
	clock deck.Clock

	mu     sync.Mutex
	voters map[deck.DataCentre]*Voter
}

// NewLocalVoters returns the voters that the VM runs among the given peers.
func NewLocalVoters(self deck.VMName, peers []deck.Peer, clock deck.Clock, duration time.Duration) *LocalVoters {
	v := &LocalVoters{clock: clock, voters: make(map[deck.DataCentre]*Voter)}
	for _, p := range peers {
		isSelf := func(e deck.Peer) bool { return e.Name == self }
		if v.voters[p.DataCentre] == nil && slices.ContainsFunc(SelectVoters(p.DataCentre, peers), isSelf) {
			v.voters[p.DataCentre] = NewVoter(clock.Now(), duration)
		}
	}
	return v
}

// Handle processes a request at the current time; if this VM has no voter for the data centre, the request is refused.
func (v *LocalVoters) Handle(r Request) Response {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	voter := v.voters[r.DataCentre]
	if voter == nil {
		return Response{Wall: now}
	}
	return voter.Handle(now, now, r)
}

// GrantDelay returns the time until this VM's voter for a data centre may grant its vote to the given VM; 0 if it may
// grant now or if this VM has no such voter.
func (v *LocalVoters) GrantDelay(dc deck.DataCentre, vm deck.VMName) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	voter := v.voters[dc]
	if voter == nil {
		return 0
	}
	return voter.GrantDelay(v.clock.Now(), vm)
}
