package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
)

// TestSoftwareThatHasLeftIsRemembered guards against a stream of unknown origin that goes on at the only listed version, although servers of
// another one may have begun it before they left.
func TestSoftwareThatHasLeftIsRemembered(t *testing.T) {
	is := is.New(t)
	b := NewBalancer(func(deck.DataCentre) Distance { return SameDataCentre }, nil, &restraint.Table{})
	start := time.Now()
	v1, v2 := deck.Server{ID: "a", Service: "svc", Software: "v1"}, deck.Server{ID: "b", Service: "svc", Software: "v2"}
	other := deck.Server{ID: "c", Service: "other", Software: "v3"}
	b.SetServers(start, []deck.Server{v1, other})
	left := start.Add(time.Minute) // listed without a change until then
	b.SetServers(left, []deck.Server{v2, other})
	for _, tc := range []struct {
		after, within time.Duration
		want          []deck.SoftwareVersion
	}{
		{0, time.Second, []deck.SoftwareVersion{"v1", "v2"}},
		{20 * time.Second, 20 * time.Second, []deck.SoftwareVersion{"v1", "v2"}},
		{21 * time.Second, 20 * time.Second, []deck.SoftwareVersion{"v2"}},
	} {
		is.Equal(b.RecentSoftware(left.Add(tc.after), "svc", tc.within), tc.want)
	}
}
