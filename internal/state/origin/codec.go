package origin

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The saved form consists of formatMagic, the time of day in Unix ms, the origins, and the records. Numbers and the lengths of strings are
// varints; a record consists of its stream in 8 bytes, the index of its origin and the ms for which it is still kept.
const formatMagic = "gso1"

const (
	streamBytes    = 8
	minOriginBytes = 2
	minRecordBytes = streamBytes + 2
)

var errTruncated = errors.New("saved origins of streams end early")

func encode(records []deck.StreamRecord, now time.Time) []byte {
	indexes := make(map[deck.StreamOrigin]uint64)
	var origins []deck.StreamOrigin
	for _, r := range records {
		if _, ok := indexes[r.Origin]; !ok {
			indexes[r.Origin] = uint64(len(origins))
			origins = append(origins, r.Origin)
		}
	}
	b := []byte(formatMagic)
	b = binary.AppendUvarint(b, uint64(max(0, now.UnixMilli())))
	b = binary.AppendUvarint(b, uint64(len(origins)))
	for _, o := range origins {
		b = appendString(b, string(o.Service))
		b = appendString(b, string(o.Software))
	}
	b = binary.AppendUvarint(b, uint64(len(records)))
	for _, r := range records {
		b = binary.BigEndian.AppendUint64(b, uint64(r.Stream))
		b = binary.AppendUvarint(b, indexes[r.Origin])
		b = binary.AppendUvarint(b, uint64(max(0, r.Keep.Milliseconds())))
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// decode returns the records that have not expired by the time of day. None is kept longer than maxKeep, whatever the clock was set to.
func decode(data []byte, now time.Time) ([]deck.StreamRecord, error) {
	if len(data) < len(formatMagic) || string(data[:len(formatMagic)]) != formatMagic {
		return nil, errors.New("saved origins of streams have an unknown format")
	}
	d := decoder{rest: data[len(formatMagic):]}
	saved := int64(d.number())
	origins := make([]deck.StreamOrigin, 0, d.count(minOriginBytes))
	for range cap(origins) {
		origins = append(origins, deck.StreamOrigin{Service: deck.ServiceName(d.string()), Software: deck.SoftwareVersion(d.string())})
	}
	n := d.count(minRecordBytes)
	records := make([]deck.StreamRecord, 0, n)
	for range n {
		stream, origin := d.stream(), d.number()
		left := saved + int64(d.number()) - now.UnixMilli()
		if origin >= uint64(len(origins)) {
			d.err = errors.CombineErrors(d.err, errors.New("saved record of a stream has no origin"))
		}
		if d.err != nil {
			return nil, d.err
		}
		if left > 0 {
			keep := time.Duration(min(left, maxKeep.Milliseconds())) * time.Millisecond
			records = append(records, deck.StreamRecord{Stream: stream, Origin: origins[origin], Keep: keep})
		}
	}
	return records, d.err
}

// A decoder reads values from the front of rest; after an error it returns zero values.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) number() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// count returns a number of items of at least minBytes each.
func (d *decoder) count(minBytes int) int {
	n := d.number()
	if n > uint64(len(d.rest)/minBytes) {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *decoder) string() string {
	return string(d.bytes(d.count(1)))
}

func (d *decoder) stream() deck.StreamKey {
	b := d.bytes(streamBytes)
	if len(b) < streamBytes {
		return 0
	}
	return deck.StreamKey(binary.BigEndian.Uint64(b))
}

func (d *decoder) bytes(n int) []byte {
	if n > len(d.rest) {
		d.fail()
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) fail() {
	d.rest = nil
	if d.err == nil {
		d.err = errTruncated
	}
}
