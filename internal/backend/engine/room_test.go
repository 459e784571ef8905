package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/api/inbound"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestLongEventsTakeTheRoomThatIsLeft guards against events that together take a VM's memory, tokens that wait for one that never comes
// among them, and against ordinary ones that are refused for them.
func TestLongEventsTakeTheRoomThatIsLeft(t *testing.T) {
	for _, tc := range []struct {
		name                        string
		firstOffset, tokens, length int
		full, whole                 bool
	}{
		{"ordinary", 0, 100, 1000, true, true},
		{"long", 0, 20, 200_000, false, true},
		{"long without room", 0, 20, 200_000, true, false},
		{"after a gap", 1, 250, 100_000, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				text := strings.Repeat("x", tc.length)
				for n := range tc.tokens {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %q\n\n", tc.firstOffset+n, text)
				}
				_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			}
			withEngine(t, h, func(t *testing.T, r *testEnv) {
				is := is.New(t)
				memory := &inbound.Budget{Bytes: 16 << 20} // a quarter is for answers
				other := memory.Open(inbound.Answers, nil)
				if tc.full {
					is.True(other.Grow(4 << 20))
				}
				ctx, end := memory.WithRoom(t.Context())
				offsets, err := collect(ctx, r.client, deck.GenerationRequest{ID: "r", Path: "/v1/completions"})
				is.Equal(err == nil, tc.whole)
				is.Equal(len(offsets) >= tc.tokens, tc.whole)
				is.Equal(errors.Is(err, errNoRoom), !tc.whole)
				end()
				other.Release()
				is.Equal(memory.Usage(inbound.Answers).Bytes, int64(0))
			})
		})
	}
}
