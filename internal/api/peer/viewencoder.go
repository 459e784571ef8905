package peer

import (
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A viewEncoder decodes the requests of entry VMs and encodes the answers, one at a time. A new leader gets hundreds of requests at
// once, each of which needs the whole list, and loses its leadership if the goroutines that confirm it wait for the processor behind
// all of them. The zero value is ready to use.
type viewEncoder struct {
	mu      sync.Mutex
	serial  uint64 // of the whole list that was encoded last
	list    []byte // its servers, compressed
	encoded int    // whole lists encoded so far
}

// decode calls f while no other message is decoded or encoded.
func (e *viewEncoder) decode(f func() bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return f()
}

// encode returns an answer as JSON, and whether it is compressed. A whole list is encoded once for all VMs that need it.
func (e *viewEncoder) encode(a deck.ViewAnswer) (data []byte, compressed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !a.FullList || a.ListSerial == 0 {
		data = mustMarshal(viewAnswerToWire(a))
		if len(data) < minCompressBytes {
			return data, false
		}
		return zstdEncoder.EncodeAll(data, nil), true
	}
	if a.ListSerial != e.serial || e.list == nil {
		e.serial, e.list = a.ListSerial, zstdEncoder.EncodeAll(mustMarshal(serversToWire(a.Servers)), nil)
		e.encoded++
	}
	a.Servers = nil
	rest := mustMarshal(viewAnswerToWire(a))
	data = zstdEncoder.EncodeAll(append(rest[:len(rest)-1], `,"servers":`...), nil) // a stream may have several frames
	data = append(data, e.list...)
	return zstdEncoder.EncodeAll([]byte("}"), data), true
}
