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

// A Machine is the state machine of the replicated log. It holds the document with the highest version, and beside it the attachment
// with the highest revision; the zero value holds none.
type Machine struct {
	// OnChange is called with each new document after it is installed; may be nil.
	OnChange func(deck.RoutingDocument)

	// OnAttachment is called with each new attachment after it is installed; may be nil.
	OnAttachment func(Attachment)

	mu         sync.RWMutex
	doc        deck.RoutingDocument
	attachment Attachment
}

var _ deck.StateMachine = (*Machine)(nil)

// A documentJSON is the JSON form of a document in log entries and snapshots.
type documentJSON struct {
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed"` // body in DEFLATE format, so that thousands of routes fit into a log entry
}

// A snapshotJSON is the JSON form of a snapshot.
type snapshotJSON struct {
	documentJSON
	attachmentJSON
}

// Document returns the newest document; its version is 0 if there is none.
func (m *Machine) Document() deck.RoutingDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.doc
}

// Apply implements deck.StateMachine.Apply. It ignores a document that is not newer than the current one.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	if a, ok := decodeAttachment(command); ok {
		return m.attach(a)
	}
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
	if a, ok := decodeAttachment(snapshot); ok {
		m.attach(a)
	}
	return nil
}

// Snapshot implements deck.StateMachine.Snapshot.
func (m *Machine) Snapshot() ([]byte, error) {
	w, err := documentToWire(m.Document())
	if err != nil {
		return nil, err
	}
	a := m.Attachment()
	return json.Marshal(snapshotJSON{w, attachmentJSON{a.Revision, a.Data}})
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
	w, err := documentToWire(doc)
	if err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

func documentToWire(doc deck.RoutingDocument) (documentJSON, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return documentJSON{}, err
	}
	if _, err := w.Write(doc.Body); err != nil {
		return documentJSON{}, err
	}
	if err := w.Close(); err != nil {
		return documentJSON{}, err
	}
	return documentJSON{Version: doc.Version, Packed: b.Bytes()}, nil
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
