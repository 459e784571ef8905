package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Intervals and timeouts of publishing.
const (
	// offerInterval bounds how long a target that restarted lacks the payload. At 2 s, offers would be a third of a control
	// VM's traffic.
	offerInterval = 10 * time.Second

	publishTimeout = time.Second
)

// A Publisher sends a payload to the VMs that the other VMs poll.
type Publisher struct {
	cfg    ClientConfig
	wake   chan struct{}
	done   chan struct{}
	name   string
	global bool

	mu        sync.Mutex
	published PayloadVersion // version of the value that this VM published last
}

// NewGlobalPublisher returns a publisher of a payload for the VMs of all data centres. Run sends it.
func NewGlobalPublisher(cfg ClientConfig, name string) *Publisher {
	p := NewPublisher(cfg, name)
	p.global = true
	return p
}

// NewPublisher returns a publisher of the named payload for the VMs of its own data centre. Run sends it.
func NewPublisher(cfg ClientConfig, name string) *Publisher {
	return &Publisher{cfg: cfg, name: name, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Publish installs a new value in the local store and wakes Run to send it. It returns false if the store rejects the value,
// for example because its version is not newer than the stored one.
func (p *Publisher) Publish(v PayloadVersion, data []byte) bool {
	payload := Payload{Name: p.name, DataCentre: p.cfg.Self.DataCentre, Version: v, Data: data}
	if p.global {
		payload.DataCentre = ""
	}
	ok := p.cfg.Store.Publish(payload)
	if ok {
		p.mu.Lock()
		p.published = v
		p.mu.Unlock()
	}
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

// Run offers the payload to the targets after each Publish, and periodically, until the context ends.
func (p *Publisher) Run(ctx context.Context) error {
	defer close(p.done)
	for {
		p.OfferOnce(ctx)
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

// OfferOnce offers the payload to each target and sends it to those that lack it.
func (p *Publisher) OfferOnce(ctx context.Context) {
	payload, ok := p.cfg.Store.Payload(p.name)
	p.mu.Lock()
	current := payload.Version == p.published
	p.mu.Unlock()
	if !ok || !current {
		return // another VM published a newer value and offers it
	}
	for _, target := range p.targets() {
		p.offerTo(ctx, target, payload)
	}
}

// targets returns the VMs that receive the payload directly. The VMs of other data centres poll the control replicas, which
// do not poll them, so a global payload is sent to every control replica.
func (p *Publisher) targets() []deck.Peer {
	out := PublishTargets(p.cfg.Self, p.cfg.Peers)
	if !p.global {
		return out
	}
	for _, q := range p.cfg.Peers {
		listed := slices.ContainsFunc(out, func(r deck.Peer) bool { return r.Name == q.Name })
		if q.Control && q.Name != p.cfg.Self.Name && !listed {
			out = append(out, q)
		}
	}
	return out
}

func (p *Publisher) offerTo(ctx context.Context, target deck.Peer, payload Payload) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	wanted, err := p.cfg.Transport.Offer(ctx, target, payload.Name, payload.Version)
	if err == nil && wanted {
		_ = p.cfg.Transport.Publish(ctx, target, payload) // retried at the next offer
	}
}

// PublishTargets returns the VMs that the VMs of self's data centre poll first: its control replicas and relays except self.
func PublishTargets(self deck.Peer, peers []deck.Peer) []deck.Peer {
	var out []deck.Peer
	relays := Relays(self.DataCentre, peers)
	for _, p := range peers {
		isRelay := slices.ContainsFunc(relays, func(r deck.Peer) bool { return r.Name == p.Name })
		if p.DataCentre == self.DataCentre && p.Name != self.Name && (p.Control || isRelay) {
			out = append(out, p)
		}
	}
	return out
}
