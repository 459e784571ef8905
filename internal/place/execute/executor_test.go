package execute

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against an executor that leaves a home model without a published place.
func TestExecutorLoadsEveryHomeModel(t *testing.T) {
	for name, checks := range map[string]bool{"engines check tokens": true, "engines ignore tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				state := testState(3, 9, checks)
				fakes := make(map[deck.BackendName]*fakeEngine)
				for _, b := range state.BackendServers() {
					fakes[b.Name] = newFakeEngine(b, time.Now)
				}
				lease := deck.PlacementLease{DataCentre: "dc", Holder: "vm", FencingToken: 7, Expires: time.Now().Add(time.Hour)}
				e := New(Config{
					DataCentre: "dc",
					Clock:      deck.SystemClock{},
					Lease:      fixedLease{lease},
					States:     fixedState{state},
					Engine:     func(b deck.BackendServer) deck.Engine { return directEngine{fake: fakes[b.Name]} },
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				is.NoErr(e.Run(ctx))
				<-e.Done()
				for _, m := range state.Models() {
					rs := e.Replicas(m.Name)
					is.Equal(len(rs), 1) // one replica, since nothing asks for more
					is.True(rs[0].Ready)
				}
				for _, f := range fakes {
					is.True(f.overspent <= 0)
				}
			})
		})
	}
}
