package origin

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	maxKeep      = 2 * time.Minute
	maxNameBytes = 256  // of a service's name and of a software version
	maxOrigins   = 1024 // distinct ones in a table
)

// checkOrigin returns an error marked as deck.ErrInvalidRecords if no table keeps records with the origin.
func checkOrigin(o deck.StreamOrigin) error {
	if len(o.Service) > maxNameBytes {
		return errors.Mark(errors.Newf("service name of %d bytes is longer than %d", len(o.Service), maxNameBytes), deck.ErrInvalidRecords)
	}
	if len(o.Software) > maxNameBytes {
		return errors.Mark(errors.Newf("software version of %d bytes is longer than %d", len(o.Software), maxNameBytes), deck.ErrInvalidRecords)
	}
	return nil
}

// An outcome says what a table did with a record.
type outcome int

const (
	unchanged   outcome = iota
	changed             // added, or its expiry extended
	conflicting         // the stream has another origin, which stays; returned once for each stream
	rejected            // there are too many origins
)

// A table holds the origins of streams until they expire. It must not be used concurrently.
type table struct {
	max     int // records
	records map[deck.StreamKey]*entry
	order   expiryHeap
	origins map[deck.StreamOrigin]*liveOrigin
}

// A liveOrigin is an origin with the latest expiry of its streams.
type liveOrigin struct {
	origin deck.StreamOrigin
	expiry time.Time
}

type entry struct {
	stream   deck.StreamKey
	origin   *liveOrigin
	expiry   time.Time
	index    int // in the heap
	conflict bool
}

// put adds a record. If the table is full, the record that expires first is dropped.
func (t *table) put(now time.Time, r deck.StreamRecord) outcome {
	if r.Keep <= 0 {
		return unchanged
	}
	t.expire(now)
	expiry := now.Add(min(r.Keep, maxKeep))
	if e := t.records[r.Stream]; e != nil {
		return t.extend(e, r.Origin, expiry)
	}
	origin := t.origins[r.Origin]
	if origin == nil {
		if len(t.origins) >= maxOrigins && len(t.recent(now)) >= maxOrigins {
			return rejected
		}
		if t.records == nil {
			t.records, t.origins = make(map[deck.StreamKey]*entry), make(map[deck.StreamOrigin]*liveOrigin)
		}
		origin = &liveOrigin{origin: r.Origin}
		t.origins[r.Origin] = origin
	}
	origin.extend(expiry)
	e := &entry{stream: r.Stream, origin: origin, expiry: expiry}
	t.records[r.Stream] = e
	heap.Push(&t.order, e)
	if len(t.records) > t.max {
		t.drop()
	}
	return changed
}

func (t *table) extend(e *entry, origin deck.StreamOrigin, expiry time.Time) outcome {
	if e.origin.origin != origin {
		if e.conflict {
			return unchanged
		}
		e.conflict = true
		return conflicting
	}
	if !expiry.After(e.expiry) {
		return unchanged
	}
	e.expiry = expiry
	e.origin.extend(expiry)
	heap.Fix(&t.order, e.index)
	return changed
}

func (o *liveOrigin) extend(expiry time.Time) {
	if expiry.After(o.expiry) {
		o.expiry = expiry
	}
}

// find returns the record of a stream with the time for which it is still kept.
func (t *table) find(now time.Time, s deck.StreamKey) (deck.StreamRecord, bool) {
	e := t.records[s]
	if e == nil || !e.expiry.After(now) {
		return deck.StreamRecord{}, false
	}
	return e.record(now), true
}

// answer returns what the table knows about a stream.
func (t *table) answer(now time.Time, s deck.StreamKey) deck.OriginAnswer {
	r, ok := t.find(now, s)
	return deck.OriginAnswer{Known: ok, Origin: r.Origin, Recent: t.recent(now)}
}

// recent returns the distinct origins of the records, and may return those of records that were dropped since the table was full.
func (t *table) recent(now time.Time) []deck.StreamOrigin {
	var out []deck.StreamOrigin
	for key, o := range t.origins {
		if o.expiry.After(now) {
			out = append(out, key)
		} else {
			delete(t.origins, key)
		}
	}
	return out
}

// list returns all records.
func (t *table) list(now time.Time) []deck.StreamRecord {
	t.expire(now)
	out := make([]deck.StreamRecord, 0, len(t.order))
	for _, e := range t.order {
		out = append(out, e.record(now))
	}
	return out
}

// streams returns all streams, those that expire first at the front.
func (t *table) streams(now time.Time) []deck.StreamKey {
	t.expire(now)
	sorted := slices.Clone(t.order)
	slices.SortFunc(sorted, func(a, b *entry) int { return a.expiry.Compare(b.expiry) })
	out := make([]deck.StreamKey, 0, len(sorted))
	for _, e := range sorted {
		out = append(out, e.stream)
	}
	return out
}

func (t *table) expire(now time.Time) {
	for len(t.order) > 0 && !t.order[0].expiry.After(now) {
		t.drop()
	}
}

func (t *table) drop() {
	e := heap.Pop(&t.order).(*entry)
	delete(t.records, e.stream)
}

func (e *entry) record(now time.Time) deck.StreamRecord {
	return deck.StreamRecord{Stream: e.stream, Origin: e.origin.origin, Keep: e.expiry.Sub(now)}
}

// An expiryHeap has the entry that expires first at the front.
type expiryHeap []*entry

var _ heap.Interface = (*expiryHeap)(nil)

// Len implements heap.Interface.Len.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.Less.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

// Swap implements heap.Interface.Swap.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.Push.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.Pop.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
