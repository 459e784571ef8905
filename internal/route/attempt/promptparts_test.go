package attempt

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestVerdictsOnProvenParts guards against a part of prompts that stays refused on a VM whose engines write answers on it, because
// other VMs saw it only at crashes.
func TestVerdictsOnProvenParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &PromptParts{Clock: deck.SystemClock{}}
		refused, objects := p.Judge(7, true)
		is.True(refused && !objects) // nothing is known here
		is.Equal(len(p.RecordSound([]uint64{7})), 0)
		refused, objects = p.Judge(7, true)
		is.True(!refused && objects)
		refused, objects = p.Judge(7, true)
		is.True(!refused && !objects) // reported a moment ago
		time.Sleep(objectionInterval)
		_, objects = p.Judge(7, true)
		is.True(objects)

		info := deck.RequestInfo{Digest: "d", Parts: []uint64{7, 8}}
		is.Equal(p.RecordCrash(info, "e1", "b1"), []uint64{8}) // 7 is proven
		is.Equal(p.RecordSound([]uint64{7, 8}), []uint64{8})   // withdrawn, since it was reported
		time.Sleep(time.Minute)
		refused, _ = p.Judge(7, true)
		is.True(refused) // the proof is old
	})
}
