package ingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// engineText is the body of the answers of malformed and sound.
const engineText = "from the engine"

// own are the header lines that prove an answer to be the server's.
const own = "Call-Id: id-1\r\nSigned: s1\r\n"

// A rawAnswer is an answer as it is written to the connection, which is closed after it.
type rawAnswer struct{ name, text string }

func (a rawAnswer) send(c net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(c, a.text) // the connection ends in any case
	return false
}

// withStatusLine returns an answer with the status line and a sound rest.
func withStatusLine(line string) rawAnswer {
	return rawAnswer{line, line + "\r\n" + own + "Content-Length: 15\r\n\r\n" + engineText}
}

// withLine returns an answer with a further header line and a length.
func withLine(name, line string) rawAnswer {
	return rawAnswer{name, "HTTP/1.1 200 OK\r\n" + own + line + "\r\nContent-Length: 15\r\n\r\n" + engineText}
}

// framedBy returns an answer whose last header lines say where the body ends.
func framedBy(name, lines, body string) rawAnswer {
	return rawAnswer{name, "HTTP/1.1 200 OK\r\n" + own + lines + "\r\n\r\n" + body}
}

func malformedStatusLines() []rawAnswer {
	return []rawAnswer{
		withStatusLine("HTTP/1.1 000 Unknown"), withStatusLine("HTTP/1.1 099 Unknown"), withStatusLine("HTTP/1.1 600 Unknown"),
		withStatusLine("HTTP/1.1 999 Unknown"), withStatusLine("HTTP/1.1 +20 OK"), withStatusLine("HTTP/1.1 -20 OK"),
		withStatusLine("HTTP/1.1 20 OK"), withStatusLine("HTTP/1.1 2000 OK"), withStatusLine("HTTP/1.1 OK"), withStatusLine("HTTP/1.1"),
		withStatusLine("HTTP/1.1 101 Switching Protocols"), withStatusLine("HTTP/2.0 200 OK"), withStatusLine("HTTP/0.9 200 OK"),
		withStatusLine("http/1.1 200 OK"), withStatusLine("HTTP/1.1 200 O\x00K"), withStatusLine("HTTP/1.1 200 O\rK"),
		withStatusLine("\r\nHTTP/1.1 200 OK"),
	}
}

func malformedFields() []rawAnswer {
	chunked := chunk(engineText) + "0\r\n\r\n"
	return []rawAnswer{
		withLine("blank in a name", "Odd Name: x"), withLine("tab in a name", "Odd\tName: x"), withLine("NUL in a name", "Odd\x00Name: x"),
		withLine("control byte in a name", "Odd\x01Name: x"), withLine("DEL in a name", "Odd\x7fName: x"), withLine("CR in a name", "Odd\rName: x"),
		withLine("byte above ASCII in a name", "Odd\xe9Name: x"), withLine("separator in a name", "Odd(Name): x"), withLine("blank after a name", "Odd : x"),
		withLine("empty name", ": x"), withLine("no colon", "Odd"), withLine("folded line", "Odd: x\r\n y"), withLine("folded line with a tab", "Odd: x\r\n\ty"),
		withLine("NUL in a value", "Odd: x\x00y"), withLine("control byte in a value", "Odd: x\x01y"), withLine("CR in a value", "Odd: x\ry"),
		framedBy("blank after the name of the length", "Content-Length : 4", engineText),
		framedBy("blank after the name of the coding", "Transfer-Encoding : chunked", chunked),
		framedBy("control byte in the name of the coding", "Transfer-Encoding\x01: chunked", chunked),
		framedBy("coding in a folded line", "Odd: x\r\n Transfer-Encoding: chunked", chunked),
		framedBy("length and coding", "Content-Length: 15\r\nTransfer-Encoding: chunked", chunked),
		framedBy("two lengths", "Content-Length: 15\r\nContent-Length: 4", engineText),
		framedBy("negative length", "Content-Length: -1", engineText),
		framedBy("length with a sign", "Content-Length: +15", engineText),
		framedBy("empty length", "Content-Length:", engineText),
		framedBy("length beyond numbers", "Content-Length: 99999999999999999999", engineText),
		framedBy("unknown coding", "Transfer-Encoding: gzip", engineText),
		framedBy("two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunked),
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n" + chunked},
		{"interim head with a blank in a name", "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + withLine("", "Odd: x").text},
		{"interim head with a control byte in a name", "HTTP/1.1 103 Early Hints\r\nOdd\x01Name: x\r\n\r\n" + withLine("", "Odd: x").text},
		{"blank in a name after an interim head", "HTTP/1.1 100 Continue\r\n\r\n" + withLine("", "Odd Name: x").text},
		framedBy("trailer with a blank in a name", "Transfer-Encoding: chunked", chunk(engineText)+"0\r\nOdd Name: x\r\n\r\n"),
		framedBy("trailer with a control byte in a name", "Transfer-Encoding: chunked", chunk(engineText)+"0\r\nOdd\x01Name: x\r\n\r\n"),
		framedBy("trailer without an end", "Transfer-Encoding: chunked", chunk(engineText)+"0\r\nOdd: x\r\n"),
		framedBy("length of a chunk that is no number", "Transfer-Encoding: chunked", "z\r\n"+engineText+"\r\n0\r\n\r\n"),
		framedBy("chunk that is longer than its length", "Transfer-Encoding: chunked", "4\r\n"+engineText+"\r\n0\r\n\r\n"),
		framedBy("no last chunk", "Transfer-Encoding: chunked", chunk(engineText)),
		framedBy("less than the length", "Content-Length: 16", engineText),
	}
}

func sound() []rawAnswer {
	chunked := chunk(engineText) + "0\r\n\r\n"
	return []rawAnswer{
		withStatusLine("HTTP/1.1 200 OK"), withStatusLine("HTTP/1.1 200 "), withStatusLine("HTTP/1.1 200"), withStatusLine("HTTP/1.1  200  OK"),
		withStatusLine("HTTP/1.1 200 b\xe9\tok"), withStatusLine("HTTP/1.2 200 OK"), withStatusLine("HTTP/1.1 299 Own"),
		{"lines that end with LF alone", strings.ReplaceAll(withLine("", "Odd: x").text, "\r\n", "\n")},
		withLine("name of all token characters", "o1!#$%&'*+-.^_`|~: x"), withLine("empty value", "Odd:"), withLine("blanks in a value", "Odd: \t x\ty z \t"),
		withLine("byte above ASCII in a value", "Odd: caf\xe9"), withLine("colons in a value", "Odd:a:b: c"),
		framedBy("length in lower case", "content-length: 15", engineText),
		framedBy("the same length twice", "Content-Length: 15\r\nContent-Length: 15", engineText),
		framedBy("coding in upper case", "TRANSFER-ENCODING:CHUNKED", chunked),
		framedBy("neither length nor coding", "Odd: x", engineText),
		framedBy("trailer", "Transfer-Encoding: chunked", chunk(engineText)+"0\r\nOdd: x\r\n\r\n"),
		framedBy("chunk extension", "Transfer-Encoding: chunked", "f;odd=x\r\n"+engineText+"\r\n0\r\n\r\n"),
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + own + "\r\n" + engineText},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + own + "Content-Length: 15\r\n\r\n" + engineText},
		{"interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nOdd: x\r\n\r\n" + withLine("", "Odd: x").text},
	}
}

// testMalformed checks that none of the answers reaches a caller, and that another server is asked instead.
func testMalformed(t *testing.T, answers []rawAnswer) {
	for _, a := range answers {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			broken := newBackend(t, "b1", a.send)
			h := newHarness(t, once(), broken)
			res := h.call(t, http.MethodPost, "/p/x", "commit")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusBadGateway)
			is.True(!strings.Contains(res.body, engineText))
			is.Equal(len(broken.requests()), 1)

			h = newHarness(t, idempotent(), broken, newBackend(t, "b2", answerWith("whole")))
			res = h.call(t, http.MethodPost, "/p/x", "lookup")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusOK)
			is.Equal(res.body, "whole")
		})
	}
}

// Guards against an answer whose status line breaks the protocol, such as one with the status 000, and that reaches its caller.
func TestAnswerWithMalformedStatusLineIsNone(t *testing.T) {
	testMalformed(t, malformedStatusLines())
}

// Guards against a status below 100 that is taken for that of an interim head: the caller waits for another answer on the same connection,
// or is given one that stands in the body.
func TestAnswerWithStatusZeroEndsTheWait(t *testing.T) {
	answer := withStatusLine("HTTP/1.1 200 OK").text
	for name, body := range map[string]string{"no body": "", "answer in the body": answer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 000 Unknown\r\n" + own + "Content-Length: " + itoa(len(body)) + "\r\n\r\n"
			h := newHarness(t, once(), newBackend(t, "b1", func(c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, head+body)
				return err == nil // the connection stays open
			}))
			res := h.call(t, http.MethodPost, "/p/x", "commit")
			is.NoErr(res.err)
			is.Equal(res.status, http.StatusBadGateway) // not the status for a deadline that has passed
		})
	}
}

// Guards against an answer with a malformed field, such as one with a blank or a control byte in its name, that reaches its caller, with
// that line or with a body that is not the server's.
func TestAnswerWithMalformedFieldIsNone(t *testing.T) {
	testMalformed(t, malformedFields())
}

// Guards against sound answers that are turned away as malformed, and against unusual ones whose body is changed.
func TestUnusualSoundAnswersAreRelayed(t *testing.T) {
	for _, a := range sound() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, once(), newBackend(t, "b1", a.send))
			res := h.call(t, http.MethodPost, "/p/x", "commit")
			is.NoErr(res.err)
			is.True(res.status/100 == 2)
			is.Equal(res.header.Get("Signed"), "s1")
			is.Equal(res.body, engineText)
		})
	}
}

// Guards against a stream with a malformed head that a caller receives, or that continues an interrupted one.
func TestStreamWithMalformedHeadIsNone(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Unknown\r\n", "HTTP/1.1 600 Unknown\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n", "HTTP/1.1 200 OK\r\nOdd\x01Name: x\r\n"} {
		is := is.New(t)
		malformed := rawAnswer{"", line + own + streamHead + "\r\n" + chunk(events(3, 4)) + "0\r\n\r\n"}
		h := newHarness(t, stream(false), newBackend(t, "b1", malformed.send))
		is.Equal(h.call(t, http.MethodPost, "/p/x", "").status, http.StatusBadGateway)

		first := newBackend(t, "b1", func(c net.Conn, r *http.Request) bool {
			reply(c, r, "200 OK", streamHead, chunk(events(1, 2)))
			return false
		})
		h = newHarness(t, []deck.Route{{Prefix: "/p/", Kind: deck.CallStream, MaxAttempts: 3, Resumable: true}}, first, newBackend(t, "b2", malformed.send),
			newBackend(t, "b3", func(c net.Conn, r *http.Request) bool {
				return reply(c, r, "200 OK", streamHead, chunk(events(3, 3))+"0\r\n\r\n")
			}))
		res := h.call(t, http.MethodPost, "/p/x", "")
		is.NoErr(res.err)
		is.Equal(res.body, events(1, 3))
	}
}

// Guards against a request that is refused as one that crashes servers because servers in trouble have answered it with malformed answers.
func TestMalformedAnswersAreNoCrashes(t *testing.T) {
	trailer := framedBy("", "Transfer-Encoding: chunked", chunk(engineText)+"0\r\nOdd Name: x\r\n\r\n")
	for _, a := range []rawAnswer{withStatusLine("HTTP/1.1 000 Unknown"), withLine("", "Odd\x01Name: x"), trailer} {
		is := is.New(t)
		var backends []*backend
		for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
			backends = append(backends, newBackend(t, id, a.send))
		}
		routes := []deck.Route{{Prefix: "/p/", Kind: deck.CallIdempotent, MaxAttempts: len(backends)}}
		h := newHarness(t, routes, backends...)
		is.Equal(h.call(t, http.MethodPost, "/p/x", "lookup").status, http.StatusBadGateway)
		is.Equal(len(h.handler.Poison.Report(time.Now()).Crashes), 0)
		h.setServers(newBackend(t, "b7", answerWith("whole")))
		is.Equal(h.call(t, http.MethodPost, "/p/x", "lookup").body, "whole")
	}
}
