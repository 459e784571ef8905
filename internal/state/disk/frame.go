package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// A frame consists of a magic number, the payload's length, a checksum of both, a checksum of the payload, and the payload. The
// header has a checksum of its own so that a damaged length is not mistaken for the torn end of a file.
const (
	frameMagic       = "gdk1"
	frameHeaderBytes = 16
	headerSumOffset  = 8
	payloadSumOffset = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errTorn means that the rest of a file is what an interrupted write leaves behind.
var errTorn = errors.New("torn frame")

// errBadFrame means that a frame was damaged after it had been written.
var errBadFrame = errors.New("frame checksum mismatch")

func newFrame(payload []byte) []byte {
	f := make([]byte, 0, frameHeaderBytes+len(payload))
	f = append(f, frameMagic...)
	f = binary.LittleEndian.AppendUint32(f, uint32(len(payload)))
	f = binary.LittleEndian.AppendUint32(f, crc32.Checksum(f, castagnoli))
	f = binary.LittleEndian.AppendUint32(f, crc32.Checksum(payload, castagnoli))
	return append(f, payload...)
}

// nextFrame returns the payload of the first frame and the bytes after it; the error is errTorn or errBadFrame.
func nextFrame(data []byte) (payload, rest []byte, err error) {
	if !headerValid(data) {
		return nil, nil, classifyDamage(data)
	}
	end := frameHeaderBytes + int(binary.LittleEndian.Uint32(data[4:]))
	if end > len(data) {
		return nil, nil, errTorn
	}
	payload, rest = data[frameHeaderBytes:end], data[end:]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[payloadSumOffset:]) {
		return payload, rest, nil
	}
	if len(rest) == 0 {
		return nil, nil, errTorn
	}
	return nil, nil, errBadFrame
}

func headerValid(data []byte) bool {
	return len(data) >= frameHeaderBytes && string(data[:len(frameMagic)]) == frameMagic &&
		crc32.Checksum(data[:headerSumOffset], castagnoli) == binary.LittleEndian.Uint32(data[headerSumOffset:])
}

// classifyDamage distinguishes a torn end from damage before the end: only the latter is followed by another frame.
func classifyDamage(data []byte) error {
	for i := 1; i < len(data); i++ {
		n := bytes.Index(data[i:], []byte(frameMagic))
		if n < 0 {
			return errTorn
		}
		i += n
		if headerValid(data[i:]) {
			return errBadFrame
		}
	}
	return errTorn
}
