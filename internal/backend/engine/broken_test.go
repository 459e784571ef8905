package engine

import (
	"context"
	"errors"
	"testing"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

// TestBrokenResponsesAreNone guards against a response that breaks the protocol or is incomplete and that is taken for an engine's report, its
// cache events, its KV cache, or its answer to an operation; and against sound ones that are turned away.
func TestBrokenResponsesAreNone(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		read       func(ctx context.Context, c *Client) error
	}{
		{"report", `{"backend":"e1","boot-id":"b1","role":"mixed"}`, func(ctx context.Context, c *Client) error {
			_, err := c.Report(ctx)
			return err
		}},
		{"cache events", `{"last":3}`, func(ctx context.Context, c *Client) error {
			_, err := c.CacheEvents(ctx, 0)
			return err
		}},
		{"operation", `{"accepted":true}`, func(ctx context.Context, c *Client) error {
			if r := c.SendOperation(ctx, deck.Operation{ID: "o", Kind: deck.OpFence}); r.Outcome != deck.OutcomeDone {
				return errors.New(r.Outcome.String() + ": " + r.Reason)
			}
			return nil
		}},
		{"cancellation", "cancelled", func(ctx context.Context, c *Client) error { return c.Cancel(ctx, "r1") }},
		{"KV import", "imported", func(ctx context.Context, c *Client) error { return c.ImportKV(ctx, "r1", []byte("kv")) }},
		{"KV export", "the cache", func(ctx context.Context, c *Client) error {
			_, err := c.ExportKV(ctx, "r1")
			if errors.Is(err, errUnframed) {
				return nil // TestUnframedKV has this case
			}
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			responses := responsetest.Template{Fields: "Boot-ID: b1\r\n", Body: tc.body}
			responsetest.CheckReader(t, responses, func(ctx context.Context, address string) error {
				c := New(address, deck.SystemClock{}, nil)
				defer c.Close()
				return tc.read(ctx, c)
			})
		})
	}
}
