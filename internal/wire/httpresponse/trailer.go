package httpresponse

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
)

// CheckTrailer makes reading the body of the response fail with ErrMalformed instead of io.EOF if the trailer after it is malformed.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp}
	}
}

// A trailedBody is a body in chunks, which a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.Read.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	var breach textproto.ProtocolError // net/http reads only trailers with textproto here
	switch {
	case errors.As(err, &breach):
		return n, malformed("trailer: %s", breach.Error())
	case errors.Is(err, io.EOF):
		return n, b.endOfTrailer()
	default:
		return n, err
	}
}

// endOfTrailer returns io.EOF, or ErrMalformed if a name in the trailer is none.
func (b *trailedBody) endOfTrailer() error {
	for name, values := range b.resp.Trailer {
		announcedOnly := values == nil
		if !announcedOnly && strings.IndexFunc(name, isNoToken) >= 0 {
			return malformed("name %q in the trailer", name)
		}
	}
	return io.EOF
}

func isNoToken(r rune) bool {
	return r > 0x7f || !isToken(byte(r))
}
