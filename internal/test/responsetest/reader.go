package responsetest

import (
	"context"
	"testing"
)

// CheckReader checks that read returns an error for each malformed or incomplete response of the server at the address, and none for a sound
// one.
func CheckReader(t *testing.T, responses Template, read func(ctx context.Context, address string) error) {
	t.Helper()
	for _, r := range append(responses.Malformed(), responses.Incomplete()...) {
		t.Run(r.Name, func(t *testing.T) {
			if read(t.Context(), NewServer(t, r.Send).Address) == nil {
				t.Error("the response was taken for a whole one")
			}
		})
	}
	for _, r := range responses.Sound() {
		t.Run(r.Name, func(t *testing.T) {
			if err := read(t.Context(), NewServer(t, r.Send).Address); err != nil {
				t.Error(err)
			}
		})
	}
}
