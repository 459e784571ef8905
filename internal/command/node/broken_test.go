package node

import (
	"context"
	"testing"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
	"github.com/geraniumdeck/geraniumdeck/platform"
)

// TestBrokenResponsesAreNone guards against a response that breaks the protocol or is incomplete and that is taken for an engine's report, an
// engine's answer to an order, the platform's list of servers or another VM's message; and against sound ones that are turned away.
func TestBrokenResponsesAreNone(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		read       func(ctx context.Context, address string) error
	}{
		{"report", `{"seq":3}`, func(ctx context.Context, address string) error {
			_, err := platform.Engines{HTTP: newPeerClient()}.Report(ctx, deck.Server{ID: "i-1", Address: address})
			return err
		}},
		{"order", `{"seq":3}`, func(ctx context.Context, address string) error {
			o := deck.ModelOrder{Model: "m", LeaseHolder: "vm"}
			outcome, err := platform.Engines{Dial: dial}.SendOrder(ctx, deck.Server{ID: "i-1", Address: address}, o)
			if (err != nil) != (outcome == deck.OrderUnknown) {
				t.Error("outcome", outcome, "with the error", err)
			}
			return err
		}},
		{"list of servers", `{"instances":[]}`, func(ctx context.Context, address string) error {
			_, err := platform.ServerList{Address: address, HTTP: newPeerClient(), Log: logr.Discard()}.ListServers(ctx)
			return err
		}},
		{"other VM", `{"granted":true}`, func(ctx context.Context, address string) error {
			_, err := peer.LeaseClient{HTTP: newPeerClient()}.SendRequest(ctx, deck.Peer{Address: address}, lease.Request{})
			return err
		}},
		{"other replica", "answer", func(ctx context.Context, address string) error {
			c := &peer.ReplicaClient{Address: func(deck.VMName) (string, bool) { return address, true }}
			return c.Send(ctx, deck.ReplicaMessage{})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			responsetest.CheckReader(t, responsetest.Template{Body: tc.body}, tc.read)
		})
	}
}
