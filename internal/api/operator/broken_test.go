package operator

import (
	"context"
	"testing"

	"github.com/geraniumdeck/geraniumdeck/internal/test/responsetest"
)

// TestBrokenResponsesAreNone guards against a response of a VM that breaks the protocol or is incomplete and that the command line takes for
// the VM's word; and against sound ones that are turned away.
func TestBrokenResponsesAreNone(t *testing.T) {
	responsetest.CheckReader(t, responsetest.Template{Body: `{"vms":[]}`}, func(ctx context.Context, address string) error {
		_, err := Client{Address: address}.StateJSON(ctx)
		return err
	})
}
