package residency

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestRoundTrip guards against a table that is changed in transit to the entry VMs.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	table := deck.NewResidencyTable(1<<60+1, map[deck.ModelName][]deck.ModelReplica{
		"m": {{Backend: "a", Version: "v1", Ready: true}, {Backend: "b", Version: "v2"}},
	}, map[deck.BackendName][]deck.AdapterName{"a": {"y", "x"}})
	data, err := Encode(table)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got.Version(), table.Version())
	is.True(got.SameRows(table))
	is.True(got.HasAdapter("a", "x"))
	is.True(!got.HasAdapter("b", "x"))
	_, err = Decode([]byte(`{"version":1,"mode":{}}`))
	is.True(err != nil)
}
