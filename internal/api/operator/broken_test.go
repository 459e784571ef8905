package operator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

// TestBrokenResponsesAreNone guards against a response of a VM that breaks the protocol or is incomplete and that the command line takes for
// the VM's word; and against sound ones that are turned away.
func TestBrokenResponsesAreNone(t *testing.T) {
	read := func(t *testing.T, r responsetest.Response) error {
		t.Helper()
		_, err := Client{Address: responsetest.NewServer(t, r.Send).Address}.StateJSON(t.Context())
		return err
	}
	responses := responsetest.Template{Body: `{"vms":[]}`}
	for _, r := range append(responses.Malformed(), responses.Incomplete()...) {
		t.Run(r.Name, func(t *testing.T) { is.New(t).True(read(t, r) != nil) })
	}
	for _, r := range responses.Sound() {
		t.Run(r.Name, func(t *testing.T) { is.New(t).NoErr(read(t, r)) })
	}
}
