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
	fieldName
	fieldValue
	headEnd
)

// A headPart is the part of a head that its next byte belongs to.
type headPart int

const (
	noFramingField framingField = iota
	contentLength
	transferEncoding
)

// A framingField is a field that says where the body ends.
type framingField int

func framingFieldOf(name string) framingField {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return contentLength
	case strings.EqualFold(name, "Transfer-Encoding"):
		return transferEncoding
	default:
		return noFramingField
	}
}

// maxPrefix is how many bytes are kept of a status line, and of each name and value of a field; what matters is shorter.
const maxPrefix = 64

// A headChecker checks the head of a response while its bytes arrive, with the interim heads before it. It is stricter than net/http,
// which reads a name with a blank as that of an unknown field, and a body that is not the server's if that field says where it ends. Its
// zero value expects the status line.
type headChecker struct {
	part    headPart
	cr      bool         // the last byte was a CR
	line    prefix       // of the line, or of the name or value in it
	field   framingField // whose value is read
	framing framing
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
	case h.cr:
		return malformed("CR within a line")
	case b == '\r':
		h.cr = true
		return nil
	}
	switch h.part {
	case lineStart:
		h.line.reset()
		h.part = fieldName
		if b == ' ' || b == '\t' {
			return malformed("folded line")
		}
		return h.nextOfName(b)
	case fieldName:
		return h.nextOfName(b)
	default:
		if !isText(b) {
			return malformed("control byte %#x", b)
		}
		h.line.add(b)
		return nil
	}
}

func (h *headChecker) nextOfName(b byte) error {
	switch {
	case b == ':' && h.line.size > 0:
		h.field = framingFieldOf(h.line.text())
		h.line.reset()
		h.part = fieldValue
		return nil
	case !isToken(b):
		return malformed("byte %#x in the name of a field", b)
	}
	h.line.add(b)
	return nil
}

// endLine acts on the end of a line.
func (h *headChecker) endLine() error {
	switch h.part {
	case statusLine:
		h.part = lineStart
		return h.framing.readStatusLine(h.line.text())
	case fieldName:
		return malformed("field without a colon")
	case fieldValue:
		h.part = lineStart
		switch {
		case h.field == noFramingField:
			return nil
		case h.line.size > maxPrefix:
			return malformed("long value that should say where the body ends")
		}
		return h.framing.readField(h.field, strings.Trim(h.line.text(), " \t"))
	}
	if h.framing.status < http.StatusOK { // another head follows
		*h = headChecker{}
		return nil
	}
	h.part = headEnd
	return h.framing.check()
}

// A framing is what a head says about the end of the body.
type framing struct {
	status int
	http10 bool // the version is HTTP/1.0
	length string
	coding string
}

// readStatusLine reads a status line. Status codes outside of 100 to 599 are invalid; 101 answers a request that is never sent.
func (f *framing) readStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isNumber(minor) {
		return malformed("HTTP version %q", version)
	}
	f.http10 = minor == "0"
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(code) != 3 || !isNumber(code) {
		return malformed("status %q", code)
	}
	f.status, _ = strconv.Atoi(code) // three digits
	if f.status < http.StatusContinue || f.status > maxStatus || f.status == http.StatusSwitchingProtocols {
		return malformed("status %s", code)
	}
	return nil
}

// readField reads the value of a field.
func (f *framing) readField(field framingField, value string) error {
	switch field {
	case contentLength:
		_, err := strconv.ParseInt(value, 10, 64)
		if err != nil || !isNumber(value) || f.length != "" && f.length != value {
			return malformed("length %q", value)
		}
		f.length = value
	case transferEncoding:
		if !strings.EqualFold(value, "chunked") || f.coding != "" {
			return malformed("transfer coding %q", value)
		}
		f.coding = value
	}
	return nil
}

// check returns an error if it is in doubt where the body ends.
func (f *framing) check() error {
	switch {
	case f.coding != "" && f.http10:
		return malformed("transfer coding in HTTP/1.0")
	case f.coding != "" && f.length != "":
		return malformed("length beside a transfer coding")
	}
	return nil
}

const maxStatus = 599

// A prefix is the first bytes of a text.
type prefix struct {
	bytes [maxPrefix]byte
	size  int // of the whole text
}

func (p *prefix) add(b byte) {
	if p.size < maxPrefix {
		p.bytes[p.size] = b
	}
	p.size++
}

func (p *prefix) reset() { p.size = 0 }

func (p *prefix) text() string { return string(p.bytes[:min(p.size, maxPrefix)]) }

func isNumber(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// isText reports whether the byte may stand in a value or in a reason phrase.
func isText(b byte) bool {
	return b == '\t' || b >= ' ' && b != 0x7f
}

// isToken reports whether the byte may stand in the name of a field.
func isToken(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}
