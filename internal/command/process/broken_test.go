package process

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/platform/vmlist"
	"github.com/geraniumdeck/geraniumdeck/internal/platform/weightstore"
	"github.com/geraniumdeck/geraniumdeck/internal/state/lease"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

// TestBrokenResponsesAreNone guards against a response that breaks the protocol or is incomplete and that is taken for the list of VMs, for the
// status of the weight store or for another VM's message; and against sound ones that are turned away.
func TestBrokenResponsesAreNone(t *testing.T) {
	traffic, err := newTrafficCounter(noop.Meter{})
	is.New(t).NoErr(err)
	client := newPeerClient(traffic)
	for _, tc := range []struct {
		name, body string
		read       func(ctx context.Context, address string) error
	}{
		{"list of VMs", `{"vms":[]}`, func(ctx context.Context, address string) error {
			_, err := vmlist.New("http://"+address, client).List(ctx)
			return err
		}},
		{"weight store", `{"in-flight":1,"limit":9}`, func(ctx context.Context, address string) error {
			_, _, err := weightstore.New("http://"+address, client).Status(ctx)
			return err
		}},
		{"other VM", `{"granted":true}`, func(ctx context.Context, address string) error {
			_, err := peer.LeaseClient{HTTP: client}.SendRequest(ctx, deck.Peer{Address: address}, lease.Request{})
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			responsetest.CheckReader(t, responsetest.Template{Body: tc.body}, tc.read)
		})
	}
}
