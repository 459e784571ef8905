package routing

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// maxDocumentBytes limits the size of a decompressed document. Decode cuts a larger one off; Unpack returns an error.
const maxDocumentBytes = 64 << 20

// A Machine is the state machine of the replicated log. It holds the document with the highest version; the zero value
// holds none.
type Machine struct {
	// OnChange is called with each new document after it is installed; may be nil.
	OnChange func(deck.RoutingDocument)

	mu  sync.RWMutex
	doc deck.RoutingDocument
}

var _ deck.StateMachine = (*Machine)(nil)

// A documentJSON is the JSON form of a document in log entries and snapshots.
type documentJSON struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"` // body in DEFLATE format, so that thousands of routes fit into a log entry
}

// Document returns the newest document; its version is 0 if there is none.
func (m *Machine) Document() deck.RoutingDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.doc
}

// Apply implements deck.StateMachine.Apply. It ignores a document that is not newer than the current one.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	doc, err := Decode(command)
	if err != nil {
		return []byte(err.Error()) // deterministic: every replica skips the same entry
	}
	m.install(doc)
	return nil
}

// Restore implements deck.StateMachine.Restore.
func (m *Machine) Restore(snapshot []byte) error {
	doc, err := Decode(snapshot)
	if err != nil {
		return err
	}
	m.install(doc)
	return nil
}

// Snapshot implements deck.StateMachine.Snapshot.
func (m *Machine) Snapshot() ([]byte, error) {
	return Encode(m.Document())
}

func (m *Machine) install(doc deck.RoutingDocument) {
	m.mu.Lock()
	newer := doc.Version > m.doc.Version
	if newer {
		m.doc = doc
	}
	m.mu.Unlock()
	if newer && m.OnChange != nil {
		m.OnChange(doc)
	}
}

// Encode returns the document in the form of a log entry or snapshot.
func Encode(doc deck.RoutingDocument) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(doc.Body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(documentJSON{Version: doc.Version, Packed: b.Bytes()})
}

// Decode returns the document that Encode encoded.
func Decode(data []byte) (deck.RoutingDocument, error) {
	var w documentJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return deck.RoutingDocument{}, errors.Wrap(err, "routing document")
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Packed)), maxDocumentBytes))
	if err != nil {
		return deck.RoutingDocument{}, errors.Wrap(err, "routing document")
	}
	return deck.RoutingDocument{Version: w.Version, Body: body}, nil
}
