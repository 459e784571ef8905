package httpresponse

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// A Conn is a connection to a server. It checks the heads of responses, and tells the end of the data, which may be what ends a response,
// from a lost connection.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	head     *headChecker // of the response that is awaited or read; nil before the first request
	rejected error        // since a head is malformed

	readFirst bool          // holds the failure of a write back until the data has been read
	ended     chan struct{} // closed when no more data can be read
	endOnce   sync.Once

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing
}

// NewConn returns a Conn over the given connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, ended: make(chan struct{})}
}

// Close implements net.Conn.Close.
func (c *Conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end says that no more data can be read.
func (c *Conn) end() {
	c.endOnce.Do(func() { close(c.ended) })
}

// BeginResponse says that the data goes on with the head of a response, of which the given bytes were read before. Its error is
// ErrMalformed.
func (c *Conn) BeginResponse(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &headChecker{}
	return c.check(read)
}

// HasHead reports whether a whole head has come since the last call of BeginResponse.
func (c *Conn) HasHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil && c.head.part == headEnd
}

// check checks data that was read. The caller holds c.mu.
func (c *Conn) check(data []byte) error {
	if c.rejected == nil && c.head != nil {
		c.rejected = c.head.check(data)
	}
	return c.rejected
}

// Read implements io.Reader.Read. Its error is io.EOF only if the server has ended its data in order, and ErrMalformed from the first
// malformed head on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		defer c.end()
	}
	c.mu.Lock()
	rejected := c.check(p[:n])
	c.mu.Unlock()
	if rejected != nil {
		return 0, rejected
	}
	if errors.Is(err, io.EOF) {
		if lost := c.lostInWrite(); lost != nil {
			err = errors.Wrap(lost, "connection lost while the request was written")
		}
	}
	return n, err
}

// Write implements io.Writer.Write.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && c.readFirst {
		<-c.ended
	}
	return n, err
}

func (c *Conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// lostInWrite returns the error with which a write learned that the connection was lost; nil if it was not. The operating system reports
// the loss once, to a write or to a read; after the write, the read finds the end of the data.
func (c *Conn) lostInWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits for the server to read; it fails on a closed connection only
	c.writing.Lock()
	defer c.writing.Unlock()
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != syscall.EPIPE { // EPIPE is for a connection that ended in order before
		return c.writeErr
	}
	return nil
}
