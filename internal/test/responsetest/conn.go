package responsetest

import (
	"context"
	"net"
	"sync"
	"time"
)

// UploadBytes is more than the socket buffers of both ends of a connection between DialWriteFirst and a Server take.
const UploadBytes = 2 << 20

const socketBufferBytes = 64 << 10

// writeTimeout is how long a connection waits for a write to fail.
const writeTimeout = 5 * time.Second

// A WriteFirstConn reads the end of its connection only after a write has failed, so that a reset is reported to the write.
type WriteFirstConn struct {
	net.Conn

	once   sync.Once
	failed chan struct{} // closed when a write has failed
	unread int           // bytes that are read before
}

// DialWriteFirst returns a dial function for connections to the address that read the given number of bytes before a write must fail.
func DialWriteFirst(address string, n int) func(ctx context.Context, network, ignored string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBufferBytes) // the upload then takes longer than its answer
		return &WriteFirstConn{Conn: c, failed: make(chan struct{}), unread: n}, nil
	}
}

// Read implements io.Reader.Read.
func (c *WriteFirstConn) Read(p []byte) (int, error) {
	if c.unread <= 0 {
		select {
		case <-c.failed:
		case <-time.After(writeTimeout):
		}
	}
	n, err := c.Conn.Read(p)
	c.unread -= n
	return n, err
}

// Write implements io.Writer.Write.
func (c *WriteFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}
