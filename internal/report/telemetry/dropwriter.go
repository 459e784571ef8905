package telemetry

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// maxQueuedLines bounds the log lines that wait to be written, which take about 400 bytes each.
const maxQueuedLines = 2048

// DropWriter writes log lines in the background and drops lines while its queue is full, so that logging never blocks.
// Nothing is written until Run is called.
type DropWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewDropWriter returns a DropWriter that writes to out once Run is called.
func NewDropWriter(out io.Writer) *DropWriter {
	return &DropWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Write implements io.Writer; it never blocks and never returns an error.
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

// Run writes lines until ctx ends, and then those still in the queue.
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

// writeLine writes a line after a note of the number of lines dropped before it. It ignores write errors, since there is
// no other output to report them to.
func (d *DropWriter) writeLine(line []byte) {
	if n := d.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(d.out, `{"level":"WARN","msg":"log lines dropped","lines":`+strconv.FormatInt(n, 10)+"}\n")
	}
	_, _ = d.out.Write(line)
}
