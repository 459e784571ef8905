package deck

import (
	"cmp"
	"context"
	"time"
)

// A StreamKey is a fingerprint of the ID of the caller's attempt that brought the first event of a stream.
type StreamKey uint64

// A StreamOrigin says what wrote the first event of a stream. Only backend servers of the same origin may continue it, since what two
// software versions write does not fit together.
type StreamOrigin struct {
	Service  ServiceName
	Software SoftwareVersion
}

// Compare orders origins by service and software version.
func (o StreamOrigin) Compare(p StreamOrigin) int {
	return cmp.Or(cmp.Compare(o.Service, p.Service), cmp.Compare(o.Software, p.Software))
}

// A StreamRecord is the origin of one stream.
type StreamRecord struct {
	Stream StreamKey
	Origin StreamOrigin
	Keep   time.Duration // how much longer the caller may resume the stream
}

// An OriginAnswer is what one VM knows about the origin of a stream.
type OriginAnswer struct {
	Known  bool
	Origin StreamOrigin // if it is known

	// Recent are the distinct origins of all streams that the VM knows and that may still be resumed, and those that were announced.
	Recent []StreamOrigin

	// Partial says that the VM may have lost what it kept, so that what it doesn't know proves nothing.
	Partial bool
}

// An OriginLedger keeps the origins of streams for as long as their callers may resume them.
type OriginLedger interface {
	// RecordOrigins keeps the records. It returns an error if they may not have been kept.
	RecordOrigins(ctx context.Context, records []StreamRecord) error

	// FindOrigin returns what is known about the stream.
	FindOrigin(ctx context.Context, s StreamKey) (OriginAnswer, error)
}

// An OriginFinding is what all VMs that answered know about the origin of a stream.
type OriginFinding struct {
	OriginAnswer
	Asked   int // number of control VMs that were asked
	Answers int // number of those that answered and have lost nothing
}

// A StreamOrigins shares the origins of streams among entry VMs.
type StreamOrigins interface {
	// Record notes where a stream has begun and passes it on to control VMs. It does not block.
	Record(r StreamRecord)

	// Find returns the origin of a stream, as this VM or a control VM knows it. Without one, it returns once all control VMs have answered,
	// or after a bound on that.
	Find(ctx context.Context, s StreamKey) OriginFinding

	// Announce tells control VMs the origins of the listed servers. It must be called before calls go to servers that are new in the list.
	Announce(list []Server)

	// Unannounced returns the software versions of the service that too few control VMs know yet: a stream that began there could be taken
	// for one of another version by a VM whose list is behind.
	Unannounced(s ServiceName) []SoftwareVersion
}
