package responsetest

import (
	"net"
	"net/http"
)

// An EarlyAnswer is a whole answer that is sent before its request has been read.
type EarlyAnswer struct {
	Response

	Status int
	Body   string // without chunks
	Ends   bool   // the server ends its data before it closes the connection; otherwise it resets that
}

// Send sends the answer.
func (a EarlyAnswer) Send(c *net.TCPConn, r *http.Request) {
	if a.Ends {
		a.SendAndEnd(c, r)
		return
	}
	a.SendAndReset(c, r)
}

// EarlyAnswers returns whole answers whose heads have the given lines.
func EarlyAnswers(fields string) []EarlyAnswer {
	const body = "too large"
	answer := func(name string, status int, body, rest string, ends bool) EarlyAnswer {
		text := "HTTP/1.1 413 Content Too Large\r\n"
		if status == http.StatusOK {
			text = "HTTP/1.1 200 OK\r\n"
		}
		return EarlyAnswer{Response: Response{name, text + fields + rest}, Status: status, Body: body, Ends: ends}
	}
	framed := "Content-Length: 9\r\n\r\n" + body
	chunked := "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body) + "0\r\n\r\n"
	return []EarlyAnswer{
		answer("with a length, reset", http.StatusRequestEntityTooLarge, body, framed, false),
		answer("with a length, ended", http.StatusRequestEntityTooLarge, body, framed, true),
		answer("without a body, reset", http.StatusRequestEntityTooLarge, "", "Content-Length: 0\r\n\r\n", false),
		answer("in chunks, reset", http.StatusRequestEntityTooLarge, body, chunked, false),
		answer("that ends with its connection", http.StatusRequestEntityTooLarge, body, "\r\n"+body, true),
		answer("of success that ends with its connection", http.StatusOK, body, "\r\n"+body, true),
	}
}
