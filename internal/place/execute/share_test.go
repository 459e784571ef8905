package execute

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against owned shares whose sum exceeds the limit minus its pool, and against a data centre that never owns a load.
func TestOwnedSharesStayWithinLimit(t *testing.T) {
	for _, limit := range []int{1, 2, 7, 9, 55, 70} {
		for _, centres := range []int{1, 3, 10} {
			is := is.New(t)
			engines := make(map[deck.DataCentre]int)
			for i := range centres {
				engines[deck.DataCentre(rune('a'+i))] = 6 + 7*i
			}
			had := make(map[deck.DataCentre]bool)
			for s := range 10 * centres {
				now, sum := time.Unix(int64(10*s), 0), 0
				for dc := range engines {
					n := OwnedShare(limit, engines, dc, now)
					sum += n
					had[dc] = had[dc] || n > 0
				}
				is.True(sum <= limit-PoolSize(limit))
			}
			is.Equal(len(had), centres)
			for _, ok := range had {
				is.True(ok)
			}
		}
	}
}

// Guards against a pool that leases more than its size, also after a change of the control leader and while a data centre
// is cut off and uses a replaced lease.
func TestPoolLeasesExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPool(9, now)
	is.Equal(p.Grant("a", 4, now.Add(4*time.Second)), 0) // leases of the previous leader may still be valid
	now = now.Add(PoolLeaseDuration)
	is.Equal(p.Grant("a", 9, now), 4)
	is.Equal(p.Grant("b", 2, now), 0)
	is.Equal(p.Grant("a", 1, now.Add(time.Second)), 1)
	is.Equal(p.Grant("b", 2, now.Add(2*time.Second)), 0)     // the larger lease may still be in use
	is.Equal(p.Grant("b", 4, now.Add(PoolLeaseDuration)), 2) // shared while both hold leases
	is.Equal(p.Grant("b", 4, now.Add(PoolLeaseDuration+2*time.Second)), 4)

	var s Share
	s.RecordLease(3, now)
	is.Equal(s.Leased(now.Add(PoolLeaseDuration-1)), 3)
	is.Equal(s.Leased(now.Add(PoolLeaseDuration)), 0)
}
