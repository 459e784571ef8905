package routing

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// packWindowBytes is the zstd window. A document that, together with its base, exceeds the window is compressed less well.
	packWindowBytes = 1 << 20

	packDictID = 1 // ID of the dictionary, which is the base document
)

// Pack compresses the document for a VM that has the base document, which serves as the dictionary. Without a base body it
// compresses the whole document. Successive versions differ in a few routes, so that a delta takes a few hundred bytes.
func Pack(doc, base deck.RoutingDocument) (deck.PackedDocument, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true),
	}
	if len(base.Body) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(packDictID, base.Body))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return deck.PackedDocument{}, errors.Wrap(err, "pack routing document")
	}
	p := deck.PackedDocument{Version: doc.Version, Data: w.EncodeAll(doc.Body, nil)}
	if len(base.Body) > 0 {
		p.BaseVersion = base.Version
	}
	return p, errors.Wrap(w.Close(), "pack routing document")
}

// Unpack decompresses a document that Pack compressed with the same base. It fails if the data was
// compressed with a base of another version.
func Unpack(p deck.PackedDocument, base deck.RoutingDocument) (deck.RoutingDocument, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes),
	}
	if p.BaseVersion != 0 {
		if p.BaseVersion != base.Version {
			return deck.RoutingDocument{}, errors.Newf("routing document is packed for version %d, not %d", p.BaseVersion, base.Version)
		}
		options = append(options, zstd.WithDecoderDictRaw(packDictID, base.Body))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return deck.RoutingDocument{}, errors.Wrap(err, "unpack routing document")
	}
	defer r.Close()
	body, err := r.DecodeAll(p.Data, nil)
	return deck.RoutingDocument{Version: p.Version, Body: body}, errors.Wrap(err, "unpack routing document")
}
