package responsetest

import (
	"fmt"
	"slices"
	"strings"
)

// A Response is a response as it is written to a connection, which is closed after it.
type Response struct {
	Name, Text string
}

// A Template makes responses that have a body in common.
type Template struct {
	Fields string // lines of each head, each with its CRLF
	Body   string
}

// WithStatusLine returns a response with the status line and a sound rest.
func (t Template) WithStatusLine(line string) Response {
	return Response{line, line + "\r\n" + t.Fields + t.length() + "\r\n" + t.Body}
}

// WithLine returns a response with a further line in its head.
func (t Template) WithLine(name, line string) Response {
	return t.framedBy(name, line+"\r\n"+strings.TrimSuffix(t.length(), "\r\n"), t.Body)
}

// WithTrailer returns a response in chunks with the lines of a trailer.
func (t Template) WithTrailer(name, lines string) Response {
	return t.framedBy(name, "Transfer-Encoding: chunked", Chunk(t.Body)+"0\r\n"+lines+"\r\n")
}

// Unframed returns a response that ends with its connection.
func (t Template) Unframed() Response {
	return t.framedBy("neither length nor coding", "Odd: x", t.Body)
}

// framedBy returns a response whose last header lines say where the body ends.
func (t Template) framedBy(name, lines, body string) Response {
	return Response{name, "HTTP/1.1 200 OK\r\n" + t.Fields + lines + "\r\n\r\n" + body}
}

func (t Template) length() string {
	return fmt.Sprintf("Content-Length: %d\r\n", len(t.Body))
}

// Chunk returns the text as one chunk of a body.
func Chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// MalformedStatusLines returns responses whose status line breaks the protocol.
func (t Template) MalformedStatusLines() []Response {
	var out []Response
	for _, line := range []string{
		"HTTP/1.1 000 Unknown", "HTTP/1.1 099 Unknown", "HTTP/1.1 600 Unknown", "HTTP/1.1 999 Unknown", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK",
		"HTTP/0.9 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "\r\nHTTP/1.1 200 OK",
	} {
		out = append(out, t.WithStatusLine(line))
	}
	return out
}

// MalformedFields returns responses in whose head or interim head a field breaks the protocol.
func (t Template) MalformedFields() []Response {
	length := strings.TrimSuffix(t.length(), "\r\n")
	shorter := fmt.Sprintf("%d", len(t.Body)-1)
	chunked := Chunk(t.Body) + "0\r\n\r\n"
	whole := t.WithLine("", "Odd: x").Text
	return []Response{
		t.WithLine("blank in a name", "Odd Name: x"), t.WithLine("tab in a name", "Odd\tName: x"), t.WithLine("NUL in a name", "Odd\x00Name: x"),
		t.WithLine("control byte in a name", "Odd\x01Name: x"), t.WithLine("DEL in a name", "Odd\x7fName: x"), t.WithLine("CR in a name", "Odd\rName: x"),
		t.WithLine("byte above ASCII in a name", "Odd\xe9Name: x"), t.WithLine("separator in a name", "Odd(Name): x"),
		t.WithLine("blank after a name", "Odd : x"), t.WithLine("empty name", ": x"), t.WithLine("no colon", "Odd"),
		t.WithLine("folded line", "Odd: x\r\n y"), t.WithLine("folded line with a tab", "Odd: x\r\n\ty"),
		t.WithLine("NUL in a value", "Odd: x\x00y"), t.WithLine("control byte in a value", "Odd: x\x01y"), t.WithLine("CR in a value", "Odd: x\ry"),
		t.framedBy("blank after the name of the length", "Content-Length : "+shorter, t.Body),
		t.framedBy("blank after the name of the coding", "Transfer-Encoding : chunked", chunked),
		t.framedBy("control byte in the name of the coding", "Transfer-Encoding\x01: chunked", chunked),
		t.framedBy("coding in a folded line", "Odd: x\r\n Transfer-Encoding: chunked", chunked),
		t.framedBy("length and coding", length+"\r\nTransfer-Encoding: chunked", chunked),
		t.framedBy("two lengths", length+"\r\nContent-Length: "+shorter, t.Body),
		t.framedBy("negative length", "Content-Length: -1", t.Body),
		t.framedBy("length with a sign", strings.Replace(length, ": ", ": +", 1), t.Body),
		t.framedBy("empty length", "Content-Length:", t.Body),
		t.framedBy("length beyond numbers", "Content-Length: 99999999999999999999", t.Body),
		t.framedBy("unknown coding", "Transfer-Encoding: gzip", t.Body),
		t.framedBy("two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunked),
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + t.Fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked},
		{"interim head with a blank in a name", "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + whole},
		{"interim head with a control byte in a name", "HTTP/1.1 103 Early Hints\r\nOdd\x01Name: x\r\n\r\n" + whole},
		{"blank in a name after an interim head", "HTTP/1.1 100 Continue\r\n\r\n" + t.WithLine("", "Odd Name: x").Text},
	}
}

// MalformedTrailers returns responses in whose trailer a field breaks the protocol.
func (t Template) MalformedTrailers() []Response {
	return []Response{
		t.WithTrailer("trailer with a blank in a name", "Odd Name: x\r\n"), t.WithTrailer("trailer with a control byte in a name", "Odd\x01Name: x\r\n"),
	}
}

// Malformed returns all of these responses.
func (t Template) Malformed() []Response {
	return slices.Concat(t.MalformedStatusLines(), t.MalformedFields(), t.MalformedTrailers())
}

// Incomplete returns responses that end before they are whole.
func (t Template) Incomplete() []Response {
	whole := t.WithTrailer("", "Odd: x\r\n").Text
	return []Response{
		{"trailer without an end", strings.TrimSuffix(whole, "\r\n")},
		t.framedBy("no last chunk", "Transfer-Encoding: chunked", Chunk(t.Body)),
		t.framedBy("less than the length", fmt.Sprintf("Content-Length: %d", len(t.Body)+1), t.Body),
		t.framedBy("length of a chunk that is no number", "Transfer-Encoding: chunked", "z\r\n"+t.Body+"\r\n0\r\n\r\n"),
		t.framedBy("chunk that is longer than its length", "Transfer-Encoding: chunked", "1\r\n"+t.Body+"\r\n0\r\n\r\n"),
	}
}

// Sound returns unusual responses that are well-formed.
func (t Template) Sound() []Response {
	chunked := Chunk(t.Body) + "0\r\n\r\n"
	whole := t.WithLine("", "Odd: x").Text
	return []Response{
		t.WithStatusLine("HTTP/1.1 200 OK"), t.WithStatusLine("HTTP/1.1 200 "), t.WithStatusLine("HTTP/1.1 200"), t.WithStatusLine("HTTP/1.1  200  OK"),
		t.WithStatusLine("HTTP/1.1 200 b\xe9\tok"), t.WithStatusLine("HTTP/1.2 200 OK"),
		{"lines that end with LF alone", strings.ReplaceAll(whole, "\r\n", "\n")},
		t.WithLine("name of all token characters", "o1!#$%&'*+-.^_`|~: x"), t.WithLine("empty value", "Odd:"), t.WithLine("blanks in a value", "Odd: \t x\ty z \t"),
		t.WithLine("byte above ASCII in a value", "Odd: caf\xe9"), t.WithLine("colons in a value", "Odd:a:b: c"),
		t.framedBy("length in lower case", strings.ToLower(strings.TrimSuffix(t.length(), "\r\n")), t.Body),
		t.framedBy("the same length twice", t.length()+strings.TrimSuffix(t.length(), "\r\n"), t.Body),
		t.framedBy("coding in upper case", "TRANSFER-ENCODING:CHUNKED", chunked),
		t.framedBy("chunk extension", "Transfer-Encoding: chunked", fmt.Sprintf("%x;odd=x\r\n%s\r\n0\r\n\r\n", len(t.Body), t.Body)),
		t.WithTrailer("trailer", "Odd: x\r\n"),
		t.Unframed(),
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + t.Fields + "\r\n" + t.Body},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + t.Fields + t.length() + "\r\n" + t.Body},
		{"interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nOdd: x\r\n\r\n" + whole},
	}
}
