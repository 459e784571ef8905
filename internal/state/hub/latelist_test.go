package hub_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

// A slowPlatform is the platform's list and the way to the leader, both of which answer when the test says so.
type slowPlatform struct {
	leader *hub.Publisher

	mu         sync.Mutex
	cut, held  bool          // the leader gets no requests; its answers are held
	answered   chan struct{} // receives when a held answer is ready
	release    chan struct{} // lets a held answer go
	readStarts chan struct{}
	list       chan []deck.Server // what a read returns

	servers [][]deck.BackendName // lists put into force
}

func (p *slowPlatform) set(cut, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.held = cut, held
}

// RequestView implements deck.ViewClient.RequestView.
func (p *slowPlatform) RequestView(ctx context.Context, _ deck.VMName, r deck.ViewRequest) (deck.ViewAnswer, error) {
	p.mu.Lock()
	cut, held := p.cut, p.held
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
		return deck.ViewAnswer{}, ctx.Err()
	}
	a := p.leader.View(ctx, r)
	if held {
		select {
		case p.answered <- struct{}{}:
			<-p.release
		case <-ctx.Done():
		}
	}
	return a, nil
}

// ListServers implements deck.ServerList.ListServers.
func (p *slowPlatform) ListServers(ctx context.Context) ([]deck.Server, error) {
	select {
	case p.readStarts <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case list := <-p.list:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *slowPlatform) record(list []deck.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []deck.BackendName
	for _, s := range list {
		ids = append(ids, s.ID)
	}
	p.servers = append(p.servers, ids)
}

func (p *slowPlatform) inForce() []deck.BackendName {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.servers[len(p.servers)-1])
}

// runSlowPlatform calls test with an entry VM that has the servers x and y of its leader, has lost the leader and has begun to read the
// platform's list, while the leader's list has got the server z.
func runSlowPlatform(t *testing.T, test func(is *is.I, p *slowPlatform)) {
	synctest.Test(t, func(t *testing.T) {
		leader, _ := newPublisher("a", "a")
		leader.SetServers(1, []deck.Server{{ID: "x"}, {ID: "y"}})
		p := &slowPlatform{
			leader: leader, answered: make(chan struct{}), release: make(chan struct{}), readStarts: make(chan struct{}),
			list: make(chan []deck.Server),
		}
		sub := hub.NewSubscriber(hub.SubscriberOptions{
			Self: "e", Client: p, List: p, Logger: logr.Discard(), Servers: p.record,
			Seeds:  func() []deck.VMName { return []deck.VMName{"a"} },
			Report: func(*deck.ViewRequest) {}, Config: func(deck.RoutingDocument) {}, VMs: func(int) {},
			Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return sub.Run(ctx) })
		g.Go(func() error { return sub.RunDirect(ctx) })
		defer func() {
			cancel()
			close(p.release)
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		}()
		<-time.After(time.Second)
		p.set(true, false)
		leader.SetServers(1, []deck.Server{{ID: "x"}, {ID: "y"}, {ID: "z"}})
		<-p.readStarts
		test(is.New(t), p)
	})
}

// TestChangesOfAnotherListAreRefused guards against changes of the leader's list that are applied to the platform's list, whose read ended
// between the request and the answer: the VM would keep what the leader had removed before.
func TestChangesOfAnotherListAreRefused(t *testing.T) {
	runSlowPlatform(t, func(is *is.I, p *slowPlatform) {
		p.set(false, true)
		<-p.answered
		p.list <- []deck.Server{{ID: "removed"}, {ID: "x"}}
		synctest.Wait()
		is.Equal(p.inForce(), []deck.BackendName{"removed", "x"})
		p.set(false, false)
		p.release <- struct{}{}
		<-time.After(time.Second)
		is.Equal(p.inForce(), []deck.BackendName{"x", "y", "z"})
	})
}

// TestReadThatEndsAfterTheLeadersAnswerIsDropped guards against a list of the platform, read while there was no leader, that replaces the
// newer one of a leader that has answered meanwhile.
func TestReadThatEndsAfterTheLeadersAnswerIsDropped(t *testing.T) {
	runSlowPlatform(t, func(is *is.I, p *slowPlatform) {
		p.set(false, false)
		<-time.After(time.Second)
		is.Equal(p.inForce(), []deck.BackendName{"x", "y", "z"})
		p.list <- []deck.Server{{ID: "removed"}, {ID: "x"}}
		<-time.After(time.Second)
		for _, list := range p.servers {
			is.True(!slices.Contains(list, "removed"))
		}
	})
}

// A documentClient answers as a control VM that knows no leader, with a document and a verdict.
type documentClient struct{}

func (documentClient) RequestView(context.Context, deck.VMName, deck.ViewRequest) (deck.ViewAnswer, error) {
	doc, err := routing.Pack(document(1), deck.RoutingDocument{})
	return deck.ViewAnswer{
		Config: &doc, Blame: deck.BlameView{Term: 5, Verdicts: []deck.Verdict{{Suspect: crashingPart}}},
	}, err
}

// Guards against a VM that begins to serve with a document before it has the verdicts that came with it, or takes them for an answer to its
// report.
func TestVerdictsComeBeforeTheDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events []string
		sub := hub.NewSubscriber(hub.SubscriberOptions{
			Self: "e", Client: documentClient{}, Logger: logr.Discard(),
			Seeds:  func() []deck.VMName { return []deck.VMName{"a"} },
			Report: func(*deck.ViewRequest) {}, Servers: func([]deck.Server) {}, VMs: func(int) {}, Calls: func([]deck.ServerCalls) {},
			Config: func(d deck.RoutingDocument) { events = append(events, fmt.Sprint("document ", d.Version)) },
			Blame: func(v deck.BlameView) {
				events = append(events, fmt.Sprint("term ", v.Term, ", verdicts ", len(v.Verdicts)))
			},
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		is.NoErr(sub.Run(ctx))
		is.Equal(events, []string{"term 0, verdicts 1", "document 1"})
	})
}
