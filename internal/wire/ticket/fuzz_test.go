package ticket

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// FuzzDecode guards against input that panics and against tickets that are changed in transit to a VM.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("../../../examples/*-ticket-*.yaml")
	if err != nil || len(files) == 0 {
		f.Fatalf("example tickets: got %v, %v", files, err)
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		t, err := DecodeYAML(data)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(EncodeJSON(t))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, decode := range []func([]byte) (deck.Ticket, error){DecodeYAML, DecodeJSON} {
			want, err := decode(data)
			if err != nil {
				continue
			}
			got, err := DecodeJSON(EncodeJSON(want))
			if err != nil {
				t.Fatal(err)
			}
			if Digest(got) != Digest(want) {
				t.Fatalf("got %+v want %+v", got, want)
			}
		}
	})
}
