package telemetry

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// maxQueuedLines is how many log lines wait at most; a line has about 400 bytes.
const maxQueuedLines = 2048

// A DropWriter writes lines in the background and drops them while the output can't keep up, so that no caller waits for
// a log. Run must be called.
type DropWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewDropWriter returns a writer that is ready to run.
func NewDropWriter(out io.Writer) *DropWriter {
	return &DropWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Write implements io.Writer.Write; it never blocks and never fails.
func (d *DropWriter) Write(line []byte) (int, error) {
	select {
	case d.lines <- append([]byte(nil), line...):
	default:
		d.dropped.Add(1)
	}
	return len(line), nil
}

// Done returns a channel that is closed when Run has returned.
func (d *DropWriter) Done() <-chan struct{} {
	return d.done
}

// Run writes lines until ctx ends, and then those that are left.
func (d *DropWriter) Run(ctx context.Context) error {
	defer close(d.done)
	for {
		select {
		case line := <-d.lines:
			d.writeLine(line)
		case <-ctx.Done():
			for {
				select {
				case line := <-d.lines:
					d.writeLine(line)
				default:
					return nil
				}
			}
		}
	}
}

// writeLine writes a line with what has been dropped before it; a log that can't be written has no other place to go.
func (d *DropWriter) writeLine(line []byte) {
	if n := d.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(d.out, `{"level":"WARN","msg":"log lines dropped","lines":`+strconv.FormatInt(n, 10)+"}\n")
	}
	_, _ = d.out.Write(line)
}
