package hub_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
)

// A viewStub answers as control VMs of which one leads.
type viewStub struct {
	leader  deck.VMName
	members []deck.VMName
}

// RequestView implements deck.ViewClient.RequestView.
func (v viewStub) RequestView(ctx context.Context, to deck.VMName, r deck.ViewRequest) (deck.ViewAnswer, error) {
	deck.Sleep(ctx, max(10*time.Millisecond, r.MaxWait))
	return deck.ViewAnswer{IsLeader: to == v.leader, Leader: v.leader, Members: v.members}, nil
}

// Guards against control VMs that are never asked since they are no seeds, although one of them may lead.
func TestControlVMsAreMoreThanTheSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := hub.NewSubscriber(hub.SubscriberOptions{
			Self: "vm", Seeds: func() []deck.VMName { return []deck.VMName{"c", "a"} }, Logger: logr.Discard(),
			Client: viewStub{leader: "d", members: []deck.VMName{"b", "a"}},
			Report: func(*deck.ViewRequest) {}, Config: func(deck.RoutingDocument) {}, Servers: func([]deck.Server) {}, VMs: func(int) {},
			Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
		})
		is.Equal(s.ControlVMs(), []deck.VMName{"a", "c"})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = s.Run(ctx) }) // always nil
		time.Sleep(2 * time.Second)
		is.Equal(s.ControlVMs(), []deck.VMName{"a", "b", "c", "d"})
		cancel()
		running.Wait()
	})
}
