package httpresponse

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is the cause of an error about a response that breaks the protocol. A lost connection is another error.
var ErrMalformed = errors.New("malformed response")

// malformed returns an error that is ErrMalformed for the reason.
func malformed(reason string, args ...any) error {
	return errors.Wrapf(ErrMalformed, reason, args...)
}

const (
	statusLine headPart = iota // and the version before it
	lineStart
	fieldValue
	headEnd
)

// A headPart is the part of a head that its next byte belongs to.
type headPart int

// maxNoted is how many bytes are kept of a status line.
const maxNoted = 64

// A headChecker checks the head of a response while its bytes arrive, with the interim heads before it. Its zero value expects the status
// line.
type headChecker struct {
	part   headPart
	cr     bool // the last byte was a CR
	line   noted
	status int
}

// check checks the bytes that follow and returns an error if they are malformed. It ignores those after the head.
func (h *headChecker) check(data []byte) error {
	for _, b := range data {
		if h.part == headEnd {
			return nil
		}
		if err := h.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *headChecker) next(b byte) error {
	switch {
	case b == '\n':
		h.cr = false
		return h.endLine()
	case h.cr && h.part == statusLine:
		return malformed("CR within a line")
	case b == '\r':
		h.cr = true
		return nil
	}
	switch {
	case h.part == lineStart:
		h.part = fieldValue
	case h.part == statusLine && !isText(b):
		return malformed("control byte %#x", b)
	case h.part == statusLine:
		h.line.add(b)
	}
	return nil
}

// endLine acts on the end of a line.
func (h *headChecker) endLine() (err error) {
	switch {
	case h.part == statusLine:
		h.status, err = readStatusLine(h.line.text())
	case h.part == fieldValue:
	case h.status < http.StatusOK: // another head follows
		*h = headChecker{}
		return nil
	default:
		h.part = headEnd
		return nil
	}
	h.part = lineStart
	return err
}

// readStatusLine returns the status of a status line. Status codes outside of 100 to 599 are invalid; 101 answers a request that is never
// sent.
func readStatusLine(line string) (status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isNumber(minor) {
		return 0, malformed("HTTP version %q", version)
	}
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(code) != 3 || !isNumber(code) {
		return 0, malformed("status %q", code)
	}
	status, _ = strconv.Atoi(code) // three digits
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, malformed("status %s", code)
	}
	return status, nil
}

const maxStatus = 599

// A noted keeps the first bytes of a text.
type noted struct {
	bytes [maxNoted]byte
	size  int // of the whole text
}

func (n *noted) add(b byte) {
	if n.size < maxNoted {
		n.bytes[n.size] = b
	}
	n.size++
}

func (n *noted) text() string { return string(n.bytes[:min(n.size, maxNoted)]) }

func isNumber(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// isText reports whether the byte may stand in a value or in a reason phrase.
func isText(b byte) bool {
	return b == '\t' || b >= ' ' && b != 0x7f
}
