package feed

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Times of publishing.
const (
	offerInterval  = 2 * time.Second // finds a root that restarted and lost the payload
	publishTimeout = time.Second
)

// A Publisher brings a payload of a data centre to the VMs that the data centre's other VMs poll.
type Publisher struct {
	cfg  ClientConfig
	wake chan struct{}
	done chan struct{}
	name string
}

// NewPublisher returns a publisher of the payload with the given name; Run does its work.
func NewPublisher(cfg ClientConfig, name string) *Publisher {
	return &Publisher{cfg: cfg, name: name, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Publish puts a new value in force here and has it sent to the roots. An older version than the one held is dropped.
func (p *Publisher) Publish(v PayloadVersion, data []byte) bool {
	ok := p.cfg.Store.Publish(Payload{Name: p.name, DataCentre: p.cfg.Self.DataCentre, Version: v, Data: data})
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return ok
}

// Done returns a channel that is closed when Run has ended.
func (p *Publisher) Done() <-chan struct{} {
	return p.done
}

// Run offers the payload to the roots on each change and in each interval until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	defer close(p.done)
	for {
		p.Once(ctx)
		t := time.NewTimer(offerInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-p.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// Once offers the payload to each root and sends it to those that lack it.
func (p *Publisher) Once(ctx context.Context) {
	payload, ok := p.cfg.Store.Payload(p.name)
	if !ok {
		return
	}
	for _, root := range Roots(p.cfg.Self, p.cfg.Peers) {
		p.send(ctx, root, payload)
	}
}

func (p *Publisher) send(ctx context.Context, root deck.Peer, payload Payload) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	wanted, err := p.cfg.Transport.Offer(ctx, root, payload.Name, payload.Version)
	if err == nil && wanted {
		_ = p.cfg.Transport.Publish(ctx, root, payload) // the next offer repeats it
	}
}

// Roots returns the other VMs of a VM's data centre that its VMs poll first: its control replicas and relays.
func Roots(self deck.Peer, peers []deck.Peer) []deck.Peer {
	var out []deck.Peer
	relays := Relays(self.DataCentre, peers)
	for _, p := range peers {
		relay := len(relays) > 0 && (p.Name == relays[0].Name || p.Name == relays[len(relays)-1].Name)
		if p.DataCentre == self.DataCentre && p.Name != self.Name && (p.Control || relay) {
			out = append(out, p)
		}
	}
	return out
}
