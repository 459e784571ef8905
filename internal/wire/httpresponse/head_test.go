package httpresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// FuzzHead guards against a head that is accepted though net/http reads it in another way: as one that ends elsewhere, or with names that
// are no names. A verdict must not depend on how many bytes arrive at a time.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.0 200\n\nbody", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
		"HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n\r\n", "HTTP/1.1 200 OK\r\nOdd: x\r\n y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + strings.Repeat(" ", maxPrefix) + ", gzip\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		var whole, bytewise headChecker
		err := whole.check(data)
		for i := 0; i < len(data) && bytewise.check(data[i:i+1]) == nil; i++ {
		}
		is.Equal(whole, bytewise)
		is.True(err == nil || errors.Is(err, ErrMalformed))
		if err != nil || whole.part != headEnd {
			return
		}
		resp, err := readFinal(data)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		is.Equal(resp.StatusCode, whole.framing.status)
		is.True(len(resp.TransferEncoding) == 0 || whole.framing.coding != "")
		for name, values := range resp.Header {
			is.True(strings.IndexFunc(name, isNoToken) < 0)
			is.True(strings.IndexFunc(strings.Join(values, ""), func(r rune) bool { return r < ' ' && r != '\t' }) < 0)
		}
	})
}

// readFinal reads a response with net/http, after its interim heads.
func readFinal(data []byte) (*http.Response, error) {
	r := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}
