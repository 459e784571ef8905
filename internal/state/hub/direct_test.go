package hub_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
)

// A countingList counts the reads of the platform's list.
type countingList struct {
	reads atomic.Int64
}

func (l *countingList) ListServers(context.Context) ([]deck.Server, error) {
	l.reads.Add(1)
	return []deck.Server{{ID: "x"}}, nil
}

// Load pattern: the leader of a system with 300 entry VMs is lost for ten seconds, and all entry VMs start before there is one.
// Guards against a number of calls to the platform that grows with the number of entry VMs and leaves no room for the leader's.
func TestDirectReadsDoNotGrowWithEntryVMs(t *testing.T) {
	const (
		entryVMs = 300
		start    = 2 * time.Second // without a leader
		outage   = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		p, log := newPublisher("a", "")
		p.SetConfig(document(1))
		p.SetServers(1, []deck.Server{{ID: "x"}})
		client := &memoryClient{publishers: map[deck.VMName]*hub.Publisher{"a": p}}
		list := &countingList{}
		var g errgroup.Group
		for i := range entryVMs {
			sub := hub.NewSubscriber(hub.SubscriberOptions{
				Self: deck.VMName(fmt.Sprintf("10.0.%d.%d:80", i/256, i%256)), Client: client, List: list, Logger: logr.Discard(),
				FirstStart: true,
				Seeds:      func() []deck.VMName { return []deck.VMName{"a"} },
				Report:     func(*deck.ViewRequest) {}, Config: func(deck.RoutingDocument) {}, Servers: func([]deck.Server) {},
				VMs: func(int) {}, Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
			})
			g.Go(func() error { return sub.Run(ctx) })
			g.Go(func() error { return sub.RunDirect(ctx) })
		}
		<-time.After(start)
		is.Equal(list.reads.Load(), int64(0))
		log.set("a", 1)
		<-time.After(10 * time.Second)
		before := list.reads.Load()
		log.set("", 2)
		<-time.After(outage)
		reads := list.reads.Load() - before
		is.True(reads > 0)
		is.True(reads <= 100) // eight a second, after two seconds without a leader
		cancel()
		is.NoErr(g.Wait())
	})
}

// Load pattern: all VMs have lost power and restart; there is no leader for some seconds. Guards against entry VMs that know no
// backend server until there is one.
func TestRestartedVMReadsTheListSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runSubscriber(t, &memoryClient{}, staticList{{ID: "x"}, {ID: "y"}}, func(w *recorder, _ *hub.Subscriber) {
			<-time.After(700 * time.Millisecond)
			_, servers := w.last()
			is.Equal(servers, 2)
		})
	})
}

// TestEntryVMIgnoresSecondEntryOfAServer guards against an earlier incarnation of a server, or another writer's entry with its ID, that
// takes its place in the list of an entry VM without a leader.
func TestEntryVMIgnoresSecondEntryOfAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := deck.Server{ID: "x", Address: "10.0.0.1:1", StartUnixMs: 17}
		earlier := deck.Server{ID: "x", Address: "10.0.0.9:9", StartUnixMs: 16}
		runSubscriber(t, &memoryClient{}, staticList{server, earlier}, func(w *recorder, _ *hub.Subscriber) {
			<-time.After(700 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			is.Equal(w.servers, []deck.Server{server})
		})
	})
}
