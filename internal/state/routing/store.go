package routing

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Timeouts of a client's request for the routing document; clients try another VM after about a second.
const (
	proposeTimeout = 2500 * time.Millisecond // covers one election, but not two; after an error the client sends the document again
	barrierTimeout = 900 * time.Millisecond  // below the second after which clients try another VM
)

// A Forwarder sends routing documents to the leader's VM.
type Forwarder interface {
	// ForwardRouting sends a document to the leader and returns nil once the leader has made it durable.
	ForwardRouting(ctx context.Context, leader deck.VMName, body []byte) error
}

// A Store implements deck.RoutingStore on a VM with a replica of the log.
type Store struct {
	Log       deck.Log
	Machine   *Machine
	Decoder   deck.RoutingDecoder
	Forwarder Forwarder
	Logger    logr.Logger
}

var _ deck.RoutingStore = (*Store)(nil)

// PutRouting implements deck.RoutingStore.PutRouting. If another replica leads, it forwards the document to the leader.
func (s *Store) PutRouting(ctx context.Context, body []byte) error {
	cfg, err := s.Decoder.DecodeRouting(body)
	if err != nil {
		s.Logger.Info("rejected invalid routing document", "reason", err.Error())
		return errors.Mark(err, deck.ErrInvalidRouting)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	leader := s.Log.Status().Leader
	if leader != s.Log.Status().Self {
		if leader.IsZero() {
			return deck.NotLeaderError{}
		}
		return s.Forwarder.ForwardRouting(ctx, leader.VM, body)
	}
	err = s.propose(ctx, deck.RoutingDocument{Version: cfg.Version, Body: body})
	s.Logger.Info("finished proposal of routing document", "version", cfg.Version, "bytes", len(body), "error", deck.ErrorText(err))
	return err
}

// propose commits the document. If the current document has the same or a higher version, it appends no entry and only
// confirms by a barrier that the current document is durable.
func (s *Store) propose(ctx context.Context, doc deck.RoutingDocument) error {
	if doc.Version <= s.Machine.Document().Version {
		return s.Log.Barrier(ctx)
	}
	command, err := Encode(doc)
	if err != nil {
		return err
	}
	_, err = s.Log.Propose(ctx, command)
	return err
}

// Routing implements deck.RoutingStore.Routing.
func (s *Store) Routing(ctx context.Context) (deck.RoutingDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := s.Log.Barrier(ctx); err != nil {
		return deck.RoutingDocument{}, errors.Wrap(err, "newest routing document is not certain")
	}
	doc := s.Machine.Document()
	if doc.Version == 0 {
		return doc, errors.New("no routing document yet")
	}
	return doc, nil
}
