package routing_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

// TestAttachment guards against an attachment that is lost in a snapshot, replaced by an older one, or disturbs the document.
func TestAttachment(t *testing.T) {
	is := is.New(t)
	var revisions []uint64
	m := &routing.Machine{OnAttachment: func(a routing.Attachment) { revisions = append(revisions, a.Revision) }}
	attach := func(revision uint64, data string) bool {
		command, err := routing.EncodeAttachment(routing.Attachment{Revision: revision, Data: []byte(data)})
		is.NoErr(err)
		_, err = routing.Decode(command)
		is.True(err != nil) // a VM that knows documents only skips the entry
		return len(m.Apply(1, command)) == 0
	}
	is.True(attach(3, "three"))
	is.True(!attach(3, "other"))
	is.True(!attach(2, "two"))
	apply(is, m, 7, "seven")
	is.True(attach(4, "four"))
	is.Equal(revisions, []uint64{3, 4})
	snapshot, err := m.Snapshot()
	is.NoErr(err)
	other := &routing.Machine{}
	is.NoErr(other.Restore(snapshot))
	is.Equal(other.Attachment(), routing.Attachment{Revision: 4, Data: []byte("four")})
	is.Equal(other.Document(), deck.RoutingDocument{Version: 7, Body: []byte("seven")})
	doc, err := routing.Decode(snapshot) // as a VM that knows documents only
	is.NoErr(err)
	is.Equal(doc, other.Document())
}
