package engine

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

// TestBrokenResponsesAreNone guards against a response that breaks the protocol or is incomplete and that is taken for an engine's report, its
// cache events, its KV cache, or its answer to an operation; and against sound ones that are turned away.
func TestBrokenResponsesAreNone(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		framed     bool // the body must have a length or chunks
		read       func(ctx context.Context, c *Client) error
	}{
		{"report", `{"backend":"e1","boot-id":"b1","role":"mixed"}`, false, func(ctx context.Context, c *Client) error {
			_, err := c.Report(ctx)
			return err
		}},
		{"cache events", `{"last":3}`, false, func(ctx context.Context, c *Client) error {
			_, err := c.CacheEvents(ctx, 0)
			return err
		}},
		{"operation", `{"accepted":true}`, false, func(ctx context.Context, c *Client) error {
			if r := c.SendOperation(ctx, deck.Operation{ID: "o", Kind: deck.OpFence}); r.Outcome != deck.OutcomeDone {
				return errors.New(r.Outcome.String() + ": " + r.Reason)
			}
			return nil
		}},
		{"cancellation", "cancelled", false, func(ctx context.Context, c *Client) error { return c.Cancel(ctx, "r1") }},
		{"KV import", "imported", false, func(ctx context.Context, c *Client) error { return c.ImportKV(ctx, "r1", []byte("kv")) }},
		{"KV export", "the cache", true, func(ctx context.Context, c *Client) error {
			_, err := c.ExportKV(ctx, "r1")
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			read := func(t *testing.T, r responsetest.Response) error {
				t.Helper()
				c := New(responsetest.NewServer(t, r.Send).Address, deck.SystemClock{}, nil)
				defer c.Close()
				return tc.read(t.Context(), c)
			}
			responses := responsetest.Template{Fields: "Boot-ID: b1\r\n", Body: tc.body}
			for _, r := range append(responses.Malformed(), responses.Incomplete()...) {
				t.Run(r.Name, func(t *testing.T) { is.New(t).True(read(t, r) != nil) })
			}
			for _, r := range responses.Sound() {
				t.Run(r.Name, func(t *testing.T) {
					if err := read(t, r); err != nil && (!tc.framed || !errors.Is(err, errUnframed)) {
						t.Fatal(err)
					}
				})
			}
		})
	}
}
